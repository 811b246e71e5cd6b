#ifndef FOXQUAY_NET_PARSE_H_
#define FOXQUAY_NET_PARSE_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <stdexcept>
#include <string>

namespace foxquay::net {

/// Passes received bytes to a parser of Boost.Beast and returns how many it has
/// used. A field that is too long for Beast, which throws then, is reported as
/// error::header_limit. Not thread-safe for the same parser.
template <class Parser>
[[nodiscard]] std::size_t PutBytes(Parser& parser, const std::string& bytes,
                                   boost::beast::error_code& error) {
  try {
    return parser.put(boost::asio::buffer(bytes), error);
  } catch (const std::length_error&) {
    error = boost::beast::http::error::header_limit;
    return 0;
  }
}

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_PARSE_H_
