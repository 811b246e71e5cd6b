#ifndef FOXQUAY_NET_GRAMMAR_H_
#define FOXQUAY_NET_GRAMMAR_H_

#include <algorithm>
#include <string_view>

namespace foxquay::net {

/// Returns whether a number is the status of a final response: 200 to 599.
/// Others can't be answers (RFC 9110, 15); interim responses are read by
/// themselves. Thread-safe.
[[nodiscard]] constexpr bool IsFinalStatus(unsigned status) noexcept {
  return status >= 200 && status <= 599;
}

/// Returns whether a number is the status of an interim response to a request
/// without an Upgrade, after which the final one follows on the same
/// connection: 100 to 199 without 101 (RFC 9110, 15.2). Thread-safe.
[[nodiscard]] constexpr bool IsInterimStatus(unsigned status) noexcept {
  constexpr unsigned kSwitchingProtocols = 101;
  return status / 100 == 1 && status != kSwitchingProtocols;
}

/// Returns whether a text can be the name of a field: a token (RFC
/// 9110, 5.6.2). Thread-safe.
[[nodiscard]] constexpr bool IsToken(std::string_view text) noexcept {
  constexpr std::string_view kOther = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || kOther.find(c) != std::string_view::npos;
  });
}

/// Returns whether a text can be the value of a field: it has no control
/// characters but tabs (RFC 9110, 5.5). Thread-safe.
[[nodiscard]] constexpr bool IsFieldValue(std::string_view text) noexcept {
  constexpr char kDelete = '\x7f';
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != kDelete);
  });
}

/// Returns whether a text is a length in bytes: digits only (RFC 9110, 8.6).
/// Thread-safe.
[[nodiscard]] constexpr bool IsLength(std::string_view text) noexcept {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_GRAMMAR_H_
