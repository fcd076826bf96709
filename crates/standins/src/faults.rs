//! Switches for the faults of a stand-in.

use std::sync::Mutex;

use actix_web::{HttpResponse, web};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Faults that a test switches on and off while the stand-in runs.
#[derive(Debug, Default)]
pub struct Faults<T>(Mutex<T>);

impl<T: Clone> Faults<T> {
    /// The faults now.
    ///
    /// # Panics
    /// If a thread panicked while it changed them.
    #[must_use]
    pub fn get(&self) -> T {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Changes the faults.
    ///
    /// # Panics
    /// If a thread panicked while it changed them.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.0.lock().expect("no holder panics"))
    }
}

/// Replaces the faults by those of the body.
pub async fn set<T>(faults: web::Data<Faults<T>>, new: web::Json<T>) -> HttpResponse
where
    T: Clone + Serialize + DeserializeOwned + 'static,
{
    let new = new.into_inner();
    faults.change(|faults| *faults = new.clone());
    HttpResponse::Ok().json(new)
}
