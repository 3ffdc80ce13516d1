//! A library for `LD_PRELOAD` that lets system calls of one process fail, for drills.
//!
//! It replaces functions of the C library by ones that fail with a given probability, and otherwise call the original. What
//! fails, and how often, is read from a small file that the process maps at its first call (`GRADEPIN_FAULTS` names it), so
//! that a drill can change it at any time. The file holds [`SLOTS`] signed 64-bit numbers in the byte order of the machine:
//!
//! | slot | meaning |
//! | --- | --- |
//! | 0 | offset that is added to the wall clock, in ms |
//! | 1 | `accept4` fails with ECONNABORTED, ENFILE or ENOBUFS |
//! | 2 | `connect` fails with EADDRNOTAVAIL or ENETUNREACH |
//! | 3 | `socket` fails with ENOBUFS or ENFILE |
//! | 4 | waits for events return EINTR |
//! | 5 | reads of internet sockets return at most 3 bytes |
//! | 6 | writes to internet sockets take at most 3 bytes |
//! | 7 | reads and writes of internet sockets return EINTR |
//! | 8 | writes to files fail with ENOSPC or EIO |
//! | 9 | syncs of files fail with EIO |
//! | 10 | reads of internet sockets fail with ETIMEDOUT or EHOSTUNREACH |
//! | 16 + n | counts how often the fault of slot n was injected |
//!
//! Slots 1 to 10 are probabilities in thousandths. This crate is the only one of the workspace with unsafe code.

use libc::{c_int, c_void, clockid_t, epoll_event, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::ptr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

/// Number of slots of the file.
const SLOTS: usize = 32;
const SLOT_BYTES: usize = SLOTS * size_of::<i64>();
/// Distance from the slot of a fault to that of its counter.
const COUNTERS: usize = 16;
const SHORT_BYTES: size_t = 3;
const NANOS_PER_MS: i64 = 1_000_000;
const MS_PER_SECOND: i64 = 1_000;

/// A slot of the file.
#[derive(Clone, Copy)]
enum Slot {
    ClockOffsetMs = 0,
    Accept = 1,
    Connect = 2,
    Socket = 3,
    WaitInterrupted = 4,
    ShortRead = 5,
    ShortWrite = 6,
    Interrupted = 7,
    FileWrite = 8,
    FileSync = 9,
    BrokenConnection = 10,
}

/// The mapped file; `None` if there is none.
fn slots() -> Option<&'static [AtomicI64; SLOTS]> {
    static MAPPED: OnceLock<Option<&'static [AtomicI64; SLOTS]>> = OnceLock::new();
    *MAPPED.get_or_init(map_file)
}

fn map_file() -> Option<&'static [AtomicI64; SLOTS]> {
    // SAFETY: the name ends with a zero byte, and nothing changes the environment before the first call.
    let path = unsafe { libc::getenv(c"GRADEPIN_FAULTS".as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: `path` points to a string that ends with a zero byte.
    let file = unsafe { libc::open(path, libc::O_RDWR | libc::O_CLOEXEC) };
    if file < 0 {
        return None;
    }
    // SAFETY: maps a new region of this length; the file is open, and the result is checked below.
    let address = unsafe {
        libc::mmap(ptr::null_mut(), SLOT_BYTES, libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED, file, 0)
    };
    // SAFETY: the descriptor is owned here and not used again.
    unsafe { libc::close(file) };
    if address == libc::MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is page-aligned, has `SLOT_BYTES` bytes, is never unmapped, and is accessed by atomics alone.
    Some(unsafe { &*address.cast::<[AtomicI64; SLOTS]>() })
}

/// Whether the fault of a slot is to be injected now; counts it.
fn injects(slot: Slot) -> bool {
    let Some(slots) = slots() else { return false };
    let permille = slots[slot as usize].load(Ordering::Relaxed);
    if permille <= 0 || draw() % 1_000 >= permille as u64 {
        return false;
    }
    slots[COUNTERS + slot as usize].fetch_add(1, Ordering::Relaxed);
    true
}

/// A pseudo-random number: the finalizer of SplitMix64 over a counter.
fn draw() -> u64 {
    static COUNTER: AtomicU64 = AtomicU64::new(0);
    let counter = COUNTER.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mixed = (counter ^ (counter >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Sets `errno` to one of these and returns -1.
fn fail(errors: &[c_int]) -> c_int {
    let error = errors[draw() as usize % errors.len()];
    // SAFETY: the C library returns a valid pointer to the error number of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The address of the original function of this name.
fn original(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends with a zero byte; RTLD_NEXT finds the definition behind this library's.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!address.is_null(), "the C library has no {name:?}");
    address
}

/// Calls the original of a function, which is looked up once.
macro_rules! call_original {
    ($name:literal, fn($($type:ty),*) -> $result:ty, $($argument:expr),*) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let address = *ADDRESS.get_or_init(|| original($name) as usize);
        // SAFETY: the address is that of the C library's function of this name, which has this signature, and the
        // arguments are those of the caller, who keeps the function's contract.
        unsafe {
            let function: unsafe extern "C" fn($($type),*) -> $result = std::mem::transmute(address);
            function($($argument),*)
        }
    }};
}

/// Whether a descriptor is an internet socket that transfers bytes.
fn is_internet_stream(descriptor: c_int) -> bool {
    let option = |option: c_int| {
        let mut value: c_int = 0;
        let mut length = size_of::<c_int>() as socklen_t;
        // SAFETY: the pointers are to local variables of the stated size.
        let result = unsafe {
            libc::getsockopt(descriptor, libc::SOL_SOCKET, option, (&raw mut value).cast(), &raw mut length)
        };
        (result == 0).then_some(value)
    };
    option(libc::SO_DOMAIN) == Some(libc::AF_INET) && option(libc::SO_TYPE) == Some(libc::SOCK_STREAM)
}

/// Whether a descriptor is a regular file.
fn is_file(descriptor: c_int) -> bool {
    let mut status = std::mem::MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the pointer is to a local variable of the right type, which zeroes initialize.
    let status = unsafe {
        if libc::fstat(descriptor, status.as_mut_ptr()) != 0 {
            return false;
        }
        status.assume_init()
    };
    status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// What a transfer of bytes over an internet socket does instead of the original: the error to return, or the length.
fn transfer(descriptor: c_int, length: size_t, short: Slot, is_peek: bool) -> Result<size_t, c_int> {
    if slots().is_none() || !is_internet_stream(descriptor) {
        return Ok(length);
    }
    if injects(Slot::Interrupted) {
        return Err(fail(&[libc::EINTR]));
    }
    if matches!(short, Slot::ShortRead) && !is_peek && injects(Slot::BrokenConnection) {
        return Err(fail(&[libc::ETIMEDOUT, libc::EHOSTUNREACH]));
    }
    Ok(if length > SHORT_BYTES && injects(short) { SHORT_BYTES } else { length })
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = call_original!(c"clock_gettime", fn(clockid_t, *mut timespec) -> c_int, clock, time);
    if let Some(slots) = slots()
        && clock == libc::CLOCK_REALTIME
        && result == 0
    {
        let offset_ms = slots[Slot::ClockOffsetMs as usize].load(Ordering::Relaxed);
        // SAFETY: the call has succeeded, so the caller's pointer is valid.
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + offset_ms.rem_euclid(MS_PER_SECOND) * NANOS_PER_MS;
        time.tv_sec += offset_ms.div_euclid(MS_PER_SECOND) + nanos / (MS_PER_SECOND * NANOS_PER_MS);
        time.tv_nsec = nanos % (MS_PER_SECOND * NANOS_PER_MS);
    }
    result
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if injects(Slot::Accept) {
        return fail(&[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS]);
    }
    call_original!(
        c"accept4",
        fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int,
        socket,
        address,
        length,
        flags
    )
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if injects(Slot::Connect) {
        return fail(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH]);
    }
    call_original!(c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, address, length)
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if injects(Slot::Socket) {
        return fail(&[libc::ENOBUFS, libc::ENFILE]);
    }
    call_original!(c"socket", fn(c_int, c_int, c_int) -> c_int, domain, kind, protocol)
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    capacity: c_int,
    timeout_ms: c_int,
) -> c_int {
    if injects(Slot::WaitInterrupted) {
        return fail(&[libc::EINTR]);
    }
    call_original!(
        c"epoll_wait",
        fn(c_int, *mut epoll_event, c_int, c_int) -> c_int,
        epoll,
        events,
        capacity,
        timeout_ms
    )
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer(socket, length, Slot::ShortRead, flags & libc::MSG_PEEK != 0) {
        Ok(length) => call_original!(
            c"recv",
            fn(c_int, *mut c_void, size_t, c_int) -> ssize_t,
            socket,
            buffer,
            length,
            flags
        ),
        Err(result) => result as ssize_t,
    }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer(socket, length, Slot::ShortWrite, false) {
        Ok(length) => call_original!(
            c"send",
            fn(c_int, *const c_void, size_t, c_int) -> ssize_t,
            socket,
            bytes,
            length,
            flags
        ),
        Err(result) => result as ssize_t,
    }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendmsg(socket: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    match transfer(socket, 0, Slot::ShortWrite, false) {
        Ok(_) => {
            call_original!(c"sendmsg", fn(c_int, *const msghdr, c_int) -> ssize_t, socket, message, flags)
        }
        Err(result) => result as ssize_t,
    }
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    // Standard error is a file in a drill, and its reader judges by it.
    if slots().is_some()
        && descriptor > libc::STDERR_FILENO
        && is_file(descriptor)
        && injects(Slot::FileWrite)
    {
        return fail(&[libc::ENOSPC, libc::EIO]) as ssize_t;
    }
    call_original!(c"write", fn(c_int, *const c_void, size_t) -> ssize_t, descriptor, bytes, length)
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if injects(Slot::FileSync) {
        return fail(&[libc::EIO]);
    }
    call_original!(c"fsync", fn(c_int) -> c_int, descriptor)
}

/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if injects(Slot::FileSync) {
        return fail(&[libc::EIO]);
    }
    call_original!(c"fdatasync", fn(c_int) -> c_int, descriptor)
}
