//! How many more requests the servers of a service could run at once.

use tamaracksail_model::time::Instant;

use super::{Fleet, LOAD_VALIDITY, Query, Server};
use crate::admission::Room;

impl Fleet {
    /// Returns what is known of the free slots of a service. Servers that back off count only if all
    /// do. A load figure counts for as long as it is valid; then the gateway's own sends alone do.
    #[must_use]
    pub fn room(&self, now: Instant, service: &str) -> Room {
        let all = Query {
            service,
            software: None,
            domain: "",
            except: &[],
        };
        let mut running = Room::default();
        let mut backing_off = Room::default();
        for (_, server) in self.ready(all) {
            let room = if server.is_backing_off(now) {
                &mut backing_off
            } else {
                &mut running
            };
            server.add_to(now, room);
        }
        if running.slots == 0 {
            backing_off
        } else {
            running
        }
    }
}

impl Server {
    fn add_to(&self, now: Instant, room: &mut Room) {
        let slots = self.registration.slots.max(1);
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_VALIDITY)
            .map_or(0, |(load, at)| {
                room.age = room.age.max(now.since(at));
                load
            });
        room.slots += slots;
        room.free += slots.saturating_sub(self.in_flight.max(reported));
        room.others += reported.saturating_sub(self.in_flight);
    }
}
