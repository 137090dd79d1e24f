//! When each failure domain was last heard.

use std::collections;

use cuminkeel_types::{names, time};

use super::{settings, table};

/// Marks a domain that was never heard in a digest.
pub(super) const NEVER_HEARD_MILLIS: u32 = u32::MAX;
const HOP_MILLIS: u64 = 1;

#[derive(Clone, Debug)]
struct DomainContact {
    key: u32,
    heard: Option<time::TimePoint>,
    was_reachable: bool,
}

/// Freshness of all failure domains but the local one.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainContacts {
    contacts: collections::BTreeMap<names::FailureDomain, DomainContact>,
}

impl DomainContacts {
    pub(super) fn learn(&mut self, domain: &names::FailureDomain) {
        if !self.contacts.contains_key(domain) {
            let contact = DomainContact {
                key: table::domain_key(domain),
                heard: None,
                was_reachable: false,
            };
            self.contacts.insert(domain.clone(), contact);
        }
    }

    pub(super) fn hear(&mut self, domain: &names::FailureDomain, heard: time::TimePoint) {
        if let Some(contact) = self.contacts.get_mut(domain) {
            contact.heard = contact.heard.max(Some(heard));
        }
    }

    pub(super) fn hear_of(&mut self, now: time::TimePoint, key: u32, age_millis: u32) {
        let age = std::time::Duration::from_millis(u64::from(age_millis) + HOP_MILLIS);
        let contact = self
            .contacts
            .values_mut()
            .find(|contact| contact.key == key);
        match contact {
            Some(contact) if age_millis != NEVER_HEARD_MILLIS => {
                contact.heard = contact.heard.max(Some(now - age));
            }
            _ => {}
        }
    }

    pub(super) fn age_millis(&self, now: time::TimePoint, domain: &names::FailureDomain) -> u32 {
        let heard = self.contacts.get(domain).and_then(|contact| contact.heard);
        heard.map_or(NEVER_HEARD_MILLIS, |heard| {
            let age = now.since(heard).as_millis();
            u32::try_from(age).map_or(NEVER_HEARD_MILLIS, |age| age.min(NEVER_HEARD_MILLIS - 1))
        })
    }

    pub(super) fn is_reachable(
        &self,
        now: time::TimePoint,
        domain: &names::FailureDomain,
        settings: &settings::MembershipSettings,
    ) -> bool {
        let age = self.age_millis(now, domain);
        u128::from(age) < settings.unreachable_after.as_millis()
    }

    pub(super) fn is_forgotten(
        &self,
        now: time::TimePoint,
        domain: &names::FailureDomain,
        settings: &settings::MembershipSettings,
    ) -> bool {
        let age = self.age_millis(now, domain);
        age != NEVER_HEARD_MILLIS && u128::from(age) >= settings.forget_after.as_millis()
    }

    /// Counts a pause of this process as no silence of the domains.
    pub(super) fn restart(
        &mut self,
        now: time::TimePoint,
        settings: &settings::MembershipSettings,
    ) {
        for contact in self.contacts.values_mut() {
            if contact.was_reachable {
                contact.heard = Some(now - settings.unreachable_after / 2);
            }
        }
    }

    /// Whether any domain became reachable or unreachable since the last call.
    pub(super) fn have_changed(
        &mut self,
        now: time::TimePoint,
        settings: &settings::MembershipSettings,
    ) -> bool {
        let mut changed = false;
        for contact in self.contacts.values_mut() {
            let silence = contact.heard.map(|heard| now.since(heard));
            let reachable = silence.is_some_and(|silence| silence < settings.unreachable_after);
            changed |= contact.was_reachable != reachable;
            contact.was_reachable = reachable;
        }
        changed
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &names::FailureDomain> {
        self.contacts.keys()
    }
}
