//! Frames as the last landing encodes and decodes them: processes of both releases run side by side while
//! VMs are replaced in turn.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{
    crash_ledger, evacuation, job_model, leadership, pool_room, registry_replica,
};
use cuminkeel_node::link_frame;

use crate::peers;

fn hello() -> link_frame::PeerHello {
    link_frame::PeerHello {
        name: Arc::from("north-1"),
        failure_domain: Arc::from("north"),
        link_address: Arc::from("127.0.0.1:7000"),
        cpu_millis: 250,
        boot: 77,
    }
}

/// Returns frames about processes and jobs with their encodings by the last landing (586189a), in hexadecimal.
fn job_frames_of_last_landing() -> Vec<(link_frame::LinkFrame, &'static str)> {
    let retry_after = time::Duration::from_millis(250);
    let refusal = |reason| job_model::JobEnd::Refused {
        reason,
        retry_after,
    };
    let end = |end| link_frame::LinkFrame::End {
        submission_id: 4,
        end,
    };
    vec![
        (
            link_frame::LinkFrame::Hello(hello()),
            "000000220200076e6f7274682d31056e6f7274680e3132372e302e302e313a37303030fa014d",
        ),
        (
            link_frame::LinkFrame::Status(link_frame::PeerStatus {
                held_servers: 3,
                shards: leadership::ShardSet::ALL,
                registered_servers: 4,
                free_cpu_millis: 5_000,
                total_cpu_millis: 64_000,
                queued_jobs: 2,
                epoch: 64,
                config_version: 9,
                leaving: true,
            }),
            "00000010020103ffff0304882780f40302400901",
        ),
        (
            link_frame::LinkFrame::Submit {
                submission_id: 300,
                offer: peers::offer_of_one_task("00000000000000e1", 20),
            },
            "000000470202ac021030303030303030303030303030306531066f72646572730a6f726465722d6465736b0232300101e807010014000000000001000000000000f03f8827000014000001",
        ),
        (
            link_frame::LinkFrame::Withdraw { submission_id: 300 },
            "000000040203ac02",
        ),
        (
            link_frame::LinkFrame::Resumed { submission_id: 300 },
            "00000004060bac02",
        ),
        (end(job_model::JobEnd::Completed), "0000000402040400"),
        (
            end(job_model::JobEnd::Failed(
                job_model::FailureReason::PoolLost,
            )),
            "000000050204040102",
        ),
        (
            end(refusal(job_model::RefusalReason::CopyElsewhere)),
            "0000000a02040402050080e59a77",
        ),
        (end(job_model::JobEnd::PoolLost), "0000000402040403"),
        (end(job_model::JobEnd::NotLeader), "0000000402040404"),
    ]
}

/// Returns frames of the other kinds in the same way.
fn news_of_last_landing() -> Vec<(link_frame::LinkFrame, &'static str)> {
    vec![
        (
            link_frame::LinkFrame::Config {
                body: b"{}".to_vec(),
            },
            "000000050205027b7d",
        ),
        (
            link_frame::LinkFrame::Leaders(link_frame::LeaderChange {
                added: vec![hello()],
                removed: vec![Arc::from("north-2")],
            }),
            "0000002c020601076e6f7274682d31056e6f7274680e3132372e302e302e313a37303030fa014d01076e6f7274682d32",
        ),
        (
            link_frame::LinkFrame::SendTime {
                sender_clock: time::Duration::from_millis(1_500),
                receiver_clock: Some(time::Duration::from_millis(900)),
            },
            "0000000f03070180cab5ee01010080d293ad03",
        ),
        (
            link_frame::LinkFrame::Evacuations(evacuation::EvacuationState {
                as_of: 12,
                domains: BTreeSet::from([Arc::from("south")]),
            }),
            "0000000a04080c0105736f757468",
        ),
        (
            link_frame::LinkFrame::Room(pool_room::PoolRoom {
                largest_cpu_millis: 16_000,
                server_counts: [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16],
                queue_wait_ms: 40,
            }),
            "000000150409807d0102030405060708090a0b0c0d0e0f1028",
        ),
        (
            link_frame::LinkFrame::LostRuns(vec![crash_ledger::LostRun {
                task: job_model::TaskName::parse("00000000000000e1.0.0.3")
                    .expect("the task name is well formed"),
                run_id: 16,
                server: Arc::from("s1"),
                incarnation: 5,
                neighbours: 2,
                evidence: crash_ledger::LossEvidence::Refused,
            }]),
            "0000001e050a01103030303030303030303030303030653100000310027331050202",
        ),
    ]
}

fn bytes_of(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16);
    (0..text.len())
        .step_by(2)
        .map(|at| digits(at).expect("the text is hexadecimal"))
        .collect()
}

/// A change of a frame's encoding would cut processes of the two releases off from each other.
#[tokio::test]
async fn frames_are_readable_by_the_last_landing_and_the_other_way_round() {
    let frames = job_frames_of_last_landing().into_iter();
    for (frame, encoding) in frames.chain(news_of_last_landing()) {
        let mut bytes = Vec::new();
        link_frame::encode_frame(&frame, &mut bytes).expect("the frame should be encoded");
        assert_eq!(bytes, bytes_of(encoding), "{frame:?}");
        let decoded = link_frame::read_frame(&mut &bytes_of(encoding)[..])
            .await
            .expect("the frame should be decoded");
        let sent_again = match decoded {
            // Left out of the frame: the receiving process sets them.
            link_frame::LinkFrame::Submit {
                submission_id,
                mut offer,
            } => {
                offer.source = Arc::from("north-1");
                link_frame::LinkFrame::Submit {
                    submission_id,
                    offer,
                }
            }
            other => other,
        };
        assert_eq!(sent_again, frame);
    }
}

/// Returns the frames that are new with their encodings, in hexadecimal.
fn new_frames() -> Vec<(link_frame::LinkFrame, &'static str)> {
    let record = registry_replica::RegistryRecord {
        offset: 300,
        server: Arc::from("s1"),
        value: Some(Arc::from(&b"{}"[..])),
    };
    let removal = registry_replica::RegistryRecord {
        offset: 301,
        server: Arc::from("s2"),
        value: None,
    };
    vec![
        (
            link_frame::LinkFrame::RegistryRequest {
                request_id: 4,
                failure_domain: Arc::from("north"),
                from_offset: Some(300),
            },
            "0000000c070c04056e6f72746801ac02",
        ),
        (
            link_frame::LinkFrame::RegistryAnswer {
                request_id: 4,
                news: Some(registry_replica::RegistryNews {
                    is_snapshot: false,
                    records: vec![record, removal],
                    next_offset: 302,
                    read_age: time::Duration::from_millis(600),
                }),
            },
            "0000001d070d04010002ac0202733101027b7dad0202733200ae0200808c8d9e02",
        ),
        (
            link_frame::LinkFrame::RegistryAnswer {
                request_id: 5,
                news: None,
            },
            "00000004070d0500",
        ),
    ]
}

/// A frame that the last landing can't decode would end the connection; it skips frames of formats that it does not know.
#[tokio::test]
async fn frames_that_are_new_have_a_format_that_the_last_landing_skips() {
    let formats_of_last_landing = [2, 3, 4, 5, 6];
    for (frame, encoding) in new_frames() {
        let mut bytes = Vec::new();
        link_frame::encode_frame(&frame, &mut bytes).expect("the frame should be encoded");
        assert_eq!(bytes, bytes_of(encoding), "{frame:?}");
        assert!(!formats_of_last_landing.contains(&bytes[4]));
        let decoded = link_frame::read_frame(&mut &bytes[..]).await;
        assert_eq!(decoded.expect("the frame should be decoded"), frame);
    }
}
