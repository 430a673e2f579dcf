//! Names of what may crash upstreams, as operators write them.

use peargap_cli::suspect;

#[test]
fn a_name_from_a_list_or_a_log_line_is_understood() {
    let digest = "00112233445566778899aabbccddeeff";
    for (text, name) in [
        ("dead", "part:0000dead"),
        ("part:5d49731ec1e9", "part:5d49731ec1e9"),
        (digest, "request:00112233445566778899aabbccddeeff"),
        (
            "request:00112233445566778899aabbccddeeff",
            "request:00112233445566778899aabbccddeeff",
        ),
    ] {
        let parsed = suspect::parse(text).expect(text);
        assert_eq!(suspect::format(&parsed), name);
    }
}

#[test]
fn a_name_that_is_none_gets_a_clear_error() {
    for text in [
        "",
        "part:",
        "xyz",
        "request:12",
        "part:00112233445566778899aabbccddeeff0",
    ] {
        let error = suspect::parse(text).expect_err(text);
        assert!(error.contains("hexadecimal"), "{error}");
    }
}
