//! Calls to a store whose bytes do not end.

use std::time::{Duration, Instant};

use celerylever::platform::{StoreRequest, Transport};
use celerylever::settings::PlatformSettings;
use http::Method;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(500);
const MARGIN: Duration = Duration::from_millis(500);

#[rstest]
#[case::interim_heads("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::head_lines("HTTP/1.1 200 OK\r\n", "x-a: b\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxx")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-a: b\r\n"
)]
#[tokio::test]
async fn a_store_call_ends_although_the_response_does_not(
    #[case] first: &'static str,
    #[case] repeated: &'static str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store_address = listener.local_addr().unwrap();
    // Of its own, so that the client cannot hold it up; it ends with the connection.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let listener = listener.into_std().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1_024]).await.unwrap();
            stream.write_all(first.as_bytes()).await.unwrap();
            let bytes = repeated.repeat(4_000);
            // Ends with the error of a closed connection.
            while stream.write_all(bytes.as_bytes()).await.is_ok() {}
        });
    });
    let transport = Transport::new(PlatformSettings {
        store_address,
        ..PlatformSettings::default()
    });
    let started = Instant::now();
    let called = transport
        .call(StoreRequest {
            method: Method::GET,
            path: "/celerylever/objects/config".into(),
            body: bytes::Bytes::new(),
            timeout: TIMEOUT,
            response_max_bytes: 1_024 * 1_024,
        })
        .await;
    assert!(called.is_err());
    let took = started.elapsed();
    assert!(took < TIMEOUT + MARGIN, "took {took:?}");
}
