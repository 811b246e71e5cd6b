#ifndef FOXQUAY_NET_FWD_H_
#define FOXQUAY_NET_FWD_H_

#include <boost/beast/http/fields.hpp>
#include <cstdint>

#include "foxquay/core/id.h"

namespace foxquay::net {

struct ExchangeTag;
struct CallTag;
struct SocketTag;

/// Names one request and its answer at a Server; never used twice.
using ExchangeId = core::NumericId<ExchangeTag>;
/// Names one request and its answer at a Client; never used twice.
using CallId = core::NumericId<CallTag>;
/// Names one connection of a Server or a Client; never used twice.
using SocketId = core::NumericId<SocketTag>;

/// Header fields in the order received; names compare without case.
using Fields = boost::beast::http::fields;

struct Request;
struct Response;
class Server;
class Client;
enum class Failure : std::uint8_t;

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_FWD_H_
