//! Digests of requests: what makes two of them the same request.

use peargap_adapters::digest;

const REQUEST: digest::Request<'static> = digest::Request {
    body: b"body",
    caller: "red",
    host: "h.example",
    method: "POST",
    path: "/a?b=1",
};

#[test]
fn repeats_of_a_request_have_one_digest() {
    assert_eq!(digest::hash_request(REQUEST), digest::hash_request(REQUEST));
}

#[test]
fn requests_that_differ_in_one_field_have_different_digests() {
    let others = [
        digest::Request {
            body: b"bodz",
            ..REQUEST
        },
        digest::Request {
            caller: "blue",
            ..REQUEST
        },
        digest::Request {
            host: "i.example",
            ..REQUEST
        },
        digest::Request {
            method: "PUT",
            ..REQUEST
        },
        digest::Request {
            path: "/a?b=2",
            ..REQUEST
        },
        // The same bytes, divided among the fields in another way.
        digest::Request {
            body: b"1body",
            path: "/a?b=",
            ..REQUEST
        },
        digest::Request {
            caller: "redh",
            host: ".example",
            ..REQUEST
        },
    ];
    for other in others {
        assert_ne!(digest::hash_request(other), digest::hash_request(REQUEST));
    }
}
