#ifndef FOXQUAY_NET_FWD_H_
#define FOXQUAY_NET_FWD_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>

#include "foxquay/core/id.h"

namespace foxquay::net {

struct ExchangeTag;
struct CallTag;
struct SocketTag;

/// Identifies one request and its response at a Server; never reused.
using ExchangeId = core::NumericId<ExchangeTag>;
/// Identifies one request and its response at a Client; never reused.
using CallId = core::NumericId<CallTag>;
/// Identifies one connection of a Server or a Client; never reused.
using SocketId = core::NumericId<SocketTag>;

/// Header fields in the order received; names are case-insensitive.
using Fields = boost::beast::http::fields;

struct Request;
struct Response;
class Server;
class Client;
enum class Failure : std::uint8_t;

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_FWD_H_
