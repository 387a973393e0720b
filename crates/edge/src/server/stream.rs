//! A caller's socket, shared by the HTTP connection and the code that closes it.

use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::activity::Activity;
use super::reset::ResetGuard;

/// A stream that records when bytes arrive, whether its caller takes what is sent, and when all are sent.
pub(super) struct WatchedStream {
    pub stream: Arc<TcpStream>,
    pub activity: Arc<Activity>,
    pub reset: Arc<ResetGuard>,
}

/// True if bytes wait to be read: closing now would reset the connection and lose responses that the caller has not
/// read.
pub(super) fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Ok(1..))
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    if read > 0 {
                        self.activity.note_received();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl WatchedStream {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> std::io::Result<usize>,
    ) -> Poll<std::io::Result<usize>> {
        loop {
            let ready = self.stream.poll_write_ready(context);
            if ready.is_pending() {
                self.activity.note_blocked();
            }
            ready!(ready)?;
            match write(&self.stream) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Ok(sent) => {
                    self.activity.note_sent(sent);
                    return Poll::Ready(Ok(sent));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called when the connection's write buffer is empty; a socket has no buffer in user space. The process may exit as
    /// soon as the request no longer counts as in progress, and must not reset the connection then.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.reset.note_all_sent();
        self.activity.note_all_sent();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
