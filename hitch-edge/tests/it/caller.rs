//! Tests of the validation of request heads.

use assert_matches::assert_matches;
use hitch_edge::caller::Error;
use hitch_edge::caller::Head;
use http::request::Builder;

fn valid() -> Builder {
    http::Request::post("/fees")
        .header("x-hitch-customer", "association")
        .header("x-hitch-rank", "fee")
        .header("x-hitch-deadline-ms", "800")
}

fn head(req: Builder) -> Result<Head, Error> {
    Head::from_parts(&req.body(()).unwrap().into_parts().0)
}

/// Guards against calls that are executed without a customer, rank or deadline.
#[test]
fn missing_headers_are_refused() {
    for name in ["x-hitch-customer", "x-hitch-rank", "x-hitch-deadline-ms"] {
        let mut req = valid();
        req.headers_mut().unwrap().remove(name);
        assert_eq!(head(req), Err(Error::Missing { name }));
    }
}

/// Guards against request smuggling through conflicting framing headers.
#[test]
fn conflicting_framing_is_refused() {
    let both = valid()
        .header("content-length", "3")
        .header("transfer-encoding", "chunked");
    assert_eq!(head(both), Err(Error::ConflictingFraming));
    let twice = valid()
        .header("content-length", "3")
        .header("content-length", "4");
    assert_matches!(
        head(twice),
        Err(Error::Repeated {
            name: "content-length",
            count: 2
        })
    );
}

/// Guards against oversized bodies, unbounded recursion and integer overflow.
#[test]
fn values_out_of_range_are_refused() {
    assert_matches!(
        head(valid().header("content-length", "1048577")),
        Err(Error::BodyTooLarge { .. })
    );
    assert_matches!(
        head(valid().header("x-hitch-depth", "19")),
        Err(Error::TooDeep { depth: 19 })
    );
    assert_matches!(head(valid().header("x-hitch-depth", "18")), Ok(_));
    for deadline in ["0", "-1", "60001", "99999999999", "1s"] {
        let mut req = valid();
        req.headers_mut()
            .unwrap()
            .insert("x-hitch-deadline-ms", deadline.parse().unwrap());
        assert_matches!(
            head(req),
            Err(Error::Invalid {
                name: "x-hitch-deadline-ms",
                ..
            })
        );
    }
}
