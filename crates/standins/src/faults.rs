//! Faults that a stand-in injects.

use std::sync::Mutex;

use actix_web::{HttpResponse, web};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The faults that a stand-in injects, which a test can change while the stand-in runs.
#[derive(Debug, Default)]
pub struct Faults<T>(Mutex<T>);

impl<T: Clone> Faults<T> {
    /// Returns the current faults.
    ///
    /// # Panics
    /// If a thread panicked while it changed them.
    #[must_use]
    pub fn get(&self) -> T {
        self.0.lock().expect("no holder of the lock panics").clone()
    }

    /// Changes the faults.
    ///
    /// # Panics
    /// If a thread panicked while it changed them.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.0.lock().expect("no holder of the lock panics"))
    }
}

/// Replaces the faults by those in the request body.
pub async fn set<T>(faults: web::Data<Faults<T>>, new: web::Json<T>) -> HttpResponse
where
    T: Clone + Serialize + DeserializeOwned + 'static,
{
    let new = new.into_inner();
    faults.change(|faults| *faults = new.clone());
    HttpResponse::Ok().json(new)
}
