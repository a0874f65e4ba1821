//! Fingerprints: equal for all attempts of one request, different for any other request.

use comfreymux_lib::cluster::fingerprint::Fingerprint;
use http::Method;
use rstest::rstest;

fn fingerprint(method: &Method, host: &str, path: &str, body: &[u8]) -> Fingerprint {
    Fingerprint::new(method, host, path, body)
}

#[test]
fn attempts_alike() {
    let first = fingerprint(&Method::POST, "shop.example", "/draft/7?size=2", b"gown 7");
    let second = fingerprint(&Method::POST, "shop.example", "/draft/7?size=2", b"gown 7");
    assert_eq!(first, second);
    assert_eq!(first.to_string().len(), 8);
}

#[rstest]
#[case::method(&Method::PUT, "shop.example", "/draft/7", b"gown 7")]
#[case::host(&Method::POST, "shop2.example", "/draft/7", b"gown 7")]
#[case::path(&Method::POST, "shop.example", "/draft/8", b"gown 7")]
#[case::query(&Method::POST, "shop.example", "/draft/7?size=2", b"gown 7")]
#[case::body(&Method::POST, "shop.example", "/draft/7", b"gown 8")]
#[case::shifted(&Method::POST, "shop.example", "/draft/7g", b"own 7")]
fn others_apart(
    #[case] method: &Method,
    #[case] host: &str,
    #[case] path: &str,
    #[case] body: &[u8],
) {
    let first = fingerprint(&Method::POST, "shop.example", "/draft/7", b"gown 7");
    assert_ne!(first, fingerprint(method, host, path, body));
}
