//! Codec of edit records on the log.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{edit, frame};

/// Newest format of edit records that this release folds.
pub const EDIT_FORMAT: u16 = 1;

const MAGIC: [u8; 4] = *b"CKED";

/// Why an edit can't be written.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum EncodeError {
    /// The record would not fit into one log record.
    #[display("the edit takes {bytes} bytes, the log takes {limit}")]
    TooLarge {
        /// Size of the record.
        bytes: usize,
        /// Largest record.
        limit: usize,
    },
    /// The codec failed.
    #[display("the edit can't be encoded")]
    Codec,
}

/// Why the bytes of a log record are not an edit.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RecordFault {
    /// Not a frame, or damaged: nothing of it can be trusted.
    #[display("not an edit record, or damaged")]
    Damaged,
    /// A whole frame of a format that this release does not know.
    #[display("edit {id} has format {format}, this release knows {EDIT_FORMAT}")]
    NewerFormat {
        /// Its edit.
        id: edit::EditId,
        /// Its format.
        format: u16,
    },
    /// A whole frame of a known format whose body does not decode.
    #[display("edit {id} does not decode")]
    BadBody {
        /// Its edit.
        id: edit::EditId,
    },
}

impl RecordFault {
    /// The edit's identity, if it can be trusted.
    pub fn id(&self) -> Option<edit::EditId> {
        match self {
            Self::Damaged => None,
            Self::NewerFormat { id, .. } | Self::BadBody { id } => Some(*id),
        }
    }
}

#[derive(Serialize)]
struct BodyRef<'a> {
    based_on: edit::RowVersion,
    edit: &'a edit::ListEdit,
}

#[derive(Deserialize)]
struct BodyOwned {
    based_on: edit::RowVersion,
    edit: edit::ListEdit,
}

/// Encodes an edit for the log, which takes records of up to `limit` bytes.
///
/// # Errors
/// [`EncodeError::TooLarge`] if it does not fit.
pub fn encode_edit(record: &edit::EditRecord, limit: usize) -> Result<Vec<u8>, EncodeError> {
    let body = BodyRef {
        based_on: record.based_on,
        edit: &record.edit,
    };
    let body = postcard::to_stdvec(&body).map_err(|_| EncodeError::Codec)?;
    let bytes = frame::seal(MAGIC, EDIT_FORMAT, record.id.0, &body);
    match bytes.len() {
        size if size <= limit => Ok(bytes),
        size => Err(EncodeError::TooLarge { bytes: size, limit }),
    }
}

/// Decodes any bytes found on the edit stream.
///
/// # Errors
/// Every input that is not a whole edit of a known format.
pub fn decode_edit(bytes: &[u8]) -> Result<edit::EditRecord, RecordFault> {
    let frame = frame::open(MAGIC, bytes).ok_or(RecordFault::Damaged)?;
    let id = edit::EditId(frame.id);
    if frame.format > EDIT_FORMAT {
        let format = frame.format;
        return Err(RecordFault::NewerFormat { id, format });
    }
    let body: BodyOwned = frame::decode_body(frame.body).ok_or(RecordFault::BadBody { id })?;
    Ok(edit::EditRecord {
        id,
        based_on: body.based_on,
        edit: body.edit,
    })
}
