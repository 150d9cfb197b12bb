//! The addresses of the processes that trials start.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use cassia_trials::Process;
use cassia_trials::free_addr;

/// Number of threads that start processes, and of those that bind addresses.
const THREADS: usize = 4;
/// Number of addresses that each thread binds.
const ADDRESSES: usize = 500;

/// Programs ended at their start in some trials, since their address was in use: a process
/// that another trial was just starting held a copy of the socket by which the address had
/// been found free.
#[test]
fn an_address_is_free_while_other_processes_are_started() {
    let is_over = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..THREADS)
        .map(|_| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let store = SocketAddr::from(([127, 0, 0, 1], 9));
                while !is_over.load(Ordering::Relaxed) {
                    let started = Process::start_serve("h", store);
                    assert!(started.is_ok(), "{started:?}");
                }
            })
        })
        .collect();
    let binders: Vec<_> = (0..THREADS)
        .map(|_| {
            thread::spawn(|| {
                let is_in_use =
                    |_: &usize| TcpListener::bind(free_addr().expect("a port")).is_err();
                (0..ADDRESSES).filter(is_in_use).count()
            })
        })
        .collect();
    let in_use: usize = binders.into_iter().map(|binder| binder.join().expect("no panic")).sum();
    is_over.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().expect("no panic");
    }
    assert_eq!(in_use, 0, "of {} addresses", THREADS * ADDRESSES);
}
