#include "foxquay/net/client.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <chrono>
#include <iterator>
#include <limits>
#include <utility>

#include "foxquay/net/grammar.h"
#include "foxquay/net/parse.h"

namespace foxquay::net {
namespace internal {

namespace http = boost::beast::http;

/// Timeout of a connection attempt: a few round trips within a region, but less
/// than the time to the first retransmission of a lost SYN, since another
/// upstream is then the better choice.
constexpr std::chrono::milliseconds kConnectTimeout{400};

/// Maximum size in bytes of a response head, and of the other parts of a
/// response that can only be parsed when they are complete: the line before a
/// chunk, and the trailer.
constexpr std::uint32_t kMaxHeaderBytes = 65536;

/// Maximum size in bytes of a response body: none, as its parts are passed on.
/// Boost.Beast takes each length for too large if there is no limit.
constexpr std::uint64_t kMaxBodyBytes =
    std::numeric_limits<std::uint64_t>::max();

/// Maximum number of responses to one call that are discarded: interim ones,
/// and those to earlier requests on the connection.
constexpr unsigned kMaxDiscarded = 8;

/// Maximum number of refused calls that a connection remembers; it is closed
/// after more.
constexpr std::size_t kMaxRefused = 64;

/// Returns half of the time for which the peer keeps an idle connection open
/// according to its field Keep-Alive, so that this side closes it first; zero
/// if the field is missing or has no valid timeout.
core::Duration IdleTimeout(const Fields& fields) {
  const auto value = fields[http::field::keep_alive];
  const std::string_view text(value.data(), value.size());
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) return core::Duration::zero();
  unsigned seconds = 0;
  const char* begin = text.data() + at + std::string_view("timeout=").size();
  const auto parsed =
      std::from_chars(begin, text.data() + text.size(), seconds);
  if (parsed.ec != std::errc()) return core::Duration::zero();
  return std::chrono::milliseconds(500) * seconds;
}

/// Returns whether a head states one framing at most: a length, chunks or the
/// end of the connection. Other codings, which no request has asked for, would
/// change the body (RFC 9112, 6).
bool IsFramed(const Fields& fields) {
  const auto lengths = fields.equal_range(http::field::content_length);
  const auto codings = fields.equal_range(http::field::transfer_encoding);
  const auto stated = std::distance(lengths.first, lengths.second) +
                      std::distance(codings.first, codings.second);
  if (stated == 0) return true;
  if (stated > 1) return false;
  if (lengths.first != lengths.second) {
    const auto length = lengths.first->value();
    return IsLength({length.data(), length.size()});
  }
  const auto coding = codings.first->value();
  return boost::beast::iequals(coding, "chunked") ||
         boost::beast::iequals(coding, "identity");
}

/// Returns whether a parsed head is that of a response of HTTP/1.0 or HTTP/1.1.
/// The parser has checked the names and values of its fields, but takes each
/// number of three digits for a status.
template <class Head>
bool IsResponse(const Head& head) {
  constexpr unsigned kMinVersion = 10;
  constexpr unsigned kMaxVersion = 11;
  const unsigned status = head.result_int();
  return head.version() >= kMinVersion && head.version() <= kMaxVersion &&
         (IsFinalStatus(status) || IsInterimStatus(status)) && IsFramed(head);
}

}  // namespace internal

const char* Name(Failure failure) noexcept {
  switch (failure) {
    case Failure::kNotSent:
      return "not-sent";
    case Failure::kTimedOut:
      return "timed-out";
    case Failure::kLost:
      return "lost";
    case Failure::kMalformed:
      return "malformed";
    case Failure::kCut:
      return "cut";
  }
  return "";
}

Client::Client(boost::asio::io_context& context, ClientHandlers handlers)
    : context_(context), handlers_(std::move(handlers)) {}

CallId Client::Call(const std::string& address, std::string request,
                    const CallOptions& options) {
  const CallId call(next_call_++);
  const std::optional<SocketId> idle = TakeIdle(address, options);
  const SocketId id = idle.value_or(SocketId(next_socket_));
  if (!idle) {
    ++next_socket_;
    connections_.try_emplace(id, context_).first->second.address = address;
  }
  Connection& connection = connections_.at(id);
  connection.call = call;
  connection.options = options;
  connection.reused = idle.has_value();
  connection.started = false;
  connection.out = std::move(request);
  connection.head_reported = false;
  connection.discarding = false;
  connection.discarded = 0;
  connection.parser.reset();
  calls_[call] = id;
  if (!connection.connected) {
    Connect(id);
    return call;
  }
  boost::asio::post(context_, [this, id, call] {
    const auto found = connections_.find(id);
    const bool current =
        found != connections_.end() && found->second.call == call;
    if (current && !found->second.started) FlushReused(id);
  });
  return call;
}

std::optional<SocketId> Client::TakeIdle(const std::string& address,
                                         const CallOptions& options) {
  if (!options.reuse) return std::nullopt;
  std::vector<SocketId>& idle = idle_[address];
  const auto usable =
      std::find_if(idle.rbegin(), idle.rend(), [&](SocketId id) {
        const auto& refused = connections_.at(id).refused;
        return std::find(refused.begin(), refused.end(), options.echo_value) ==
               refused.end();
      });
  if (usable == idle.rend()) return std::nullopt;
  const SocketId id = *usable;
  std::erase(idle, id);
  return id;
}

void Client::FlushReused(SocketId id) {
  Connection& connection = connections_.at(id);
  const IoResult result = Read(connection.socket, connection.in);
  if (result == IoResult::kWouldBlock && connection.in.empty()) {
    Flush(id);
  } else {
    // Its peer has closed it, or has written what belongs to no request.
    Reconnect(id);
  }
}

void Client::Reconnect(SocketId id) {
  const SocketId fresh(next_socket_++);
  Connection& connection =
      connections_.try_emplace(fresh, context_).first->second;
  Connection& former = connections_.at(id);
  connection.address = former.address;
  connection.call = former.call;
  connection.options = former.options;
  connection.out = std::move(former.out);
  Close(id);
  calls_[*connection.call] = fresh;
  Connect(fresh);
}

void Client::Connect(SocketId id) {
  Connection& connection = connections_.at(id);
  connection.deadline = SteadyNow() + internal::kConnectTimeout;
  const auto endpoint = ParseEndpoint(connection.address);
  if (!endpoint) {
    boost::asio::post(context_, [this, id] {
      if (connections_.contains(id)) Fail(id, Failure::kNotSent);
    });
    return;
  }
  connection.socket.async_connect(
      endpoint.value(), [this, id](const boost::system::error_code& error) {
        if (connections_.contains(id)) HandleConnected(id, error);
      });
}

void Client::HandleConnected(SocketId id,
                             const boost::system::error_code& error) {
  if (error) {
    Fail(id, Failure::kNotSent);
    return;
  }
  Connection& connection = connections_.at(id);
  connection.connected = true;
  SetSocketOptions(connection.socket);
  Flush(id);
}

void Client::Flush(SocketId id) {
  Connection& connection = connections_.at(id);
  connection.started = true;
  const IoResult result = Write(connection.socket, connection.out);
  if (result == IoResult::kFailed) {
    HandleDisconnect(id, result);
    return;
  }
  if (result == IoResult::kWouldBlock) WaitWrite(id);
  WaitRead(id);
}

void Client::WaitRead(SocketId id) {
  AwaitReady(connections_, id, Tcp::socket::wait_read,
             &Connection::read_waiting,
             [this](SocketId ready) { HandleReadable(ready); });
}

void Client::WaitWrite(SocketId id) {
  AwaitReady(connections_, id, Tcp::socket::wait_write,
             &Connection::write_waiting,
             [this](SocketId ready) { Flush(ready); });
}

void Client::HandleReadable(SocketId id) {
  Connection& connection = connections_.at(id);
  const IoResult result = Read(connection.socket, connection.in);
  if (!connection.call) {
    // An idle connection is closed by its peer, or receives unexpected data.
    if (result != IoResult::kWouldBlock) {
      Close(id);
    } else {
      WaitRead(id);
    }
    return;
  }
  if (!connection.started && result != IoResult::kWouldBlock) {
    Reconnect(id);
    return;
  }
  if (result == IoResult::kClosed || result == IoResult::kFailed) {
    HandleDisconnect(id, result);
    return;
  }
  if (result == IoResult::kDone && !Parse(id)) return;
  WaitRead(id);
}

bool Client::Parse(SocketId id) {
  while (true) {
    Connection& connection = connections_.at(id);
    if (connection.in.empty() || !connection.call) return true;
    if (!connection.parser) {
      connection.parser.emplace();
      connection.parser->eager(true);
      connection.parser->skip(connection.options.head_only);
      connection.parser->header_limit(internal::kMaxHeaderBytes);
      connection.parser->body_limit(internal::kMaxBodyBytes);
      connection.head_bytes = 0;
    }
    Parser& parser = *connection.parser;
    boost::beast::error_code error;
    const std::size_t used = PutBytes(parser, connection.in, error);
    connection.in.erase(0, used);
    if (error && error != internal::http::error::need_more) {
      Fail(id, connection.head_reported ? Failure::kCut : Failure::kMalformed);
      return false;
    }
    if (parser.is_header_done() && !HandleHead(id)) return false;
    if (parser.is_done()) {
      if (!HandleComplete(id)) return false;
      continue;
    }
    // The parser limits each part of a head that arrives, but not their sum.
    if (!parser.is_header_done()) connection.head_bytes += used;
    const std::size_t head =
        parser.is_header_done() ? 0 : connection.head_bytes;
    if (used > 0 && !error) continue;
    if (head + connection.in.size() <= internal::kMaxHeaderBytes) return true;
    Fail(id, connection.head_reported ? Failure::kCut : Failure::kMalformed);
    return false;
  }
}

bool Client::HandleHead(SocketId id) {
  Connection& connection = connections_.at(id);
  const CallId call = *connection.call;
  auto& message = connection.parser->get();
  if (!connection.head_reported && !connection.discarding) {
    if (!internal::IsResponse(message)) {
      Fail(id, Failure::kMalformed);
      return false;
    }
    const CallOptions& options = connection.options;
    const auto echo = options.echo_field.empty() ? boost::beast::string_view()
                                                 : message[options.echo_field];
    const bool interim = IsInterimStatus(message.result_int());
    const bool other =
        !echo.empty() &&
        std::string_view(echo.data(), echo.size()) != options.echo_value;
    const bool unknown =
        echo.empty() && !options.echo_value.empty() && connection.reused;
    if (interim || other) {
      connection.discarding = true;
    } else if (unknown) {
      Fail(id, Failure::kMalformed);
      return false;
    } else {
      connection.head_reported = true;
      connection.idle_timeout = internal::IdleTimeout(message.base());
      Fields fields = message.base();
      handlers_.head(call, message.result_int(), std::move(fields));
    }
  }
  const auto found = calls_.find(call);
  if (found == calls_.end()) return false;
  std::string data =
      std::exchange(connections_.at(id).parser->get().body(), {});
  if (data.empty() || connections_.at(id).discarding) return true;
  handlers_.data(call, std::move(data));
  return calls_.contains(call);
}

bool Client::HandleComplete(SocketId id) {
  Connection& connection = connections_.at(id);
  if (connection.discarding) {
    connection.discarding = false;
    const bool keep = connection.parser->keep_alive() &&
                      ++connection.discarded <= internal::kMaxDiscarded;
    connection.parser.reset();
    if (keep) return true;
    Fail(id, Failure::kLost);
    return false;
  }
  const CallId call = *connection.call;
  const CallOptions& options = connection.options;
  const bool success = connection.parser->get().result_int() / 100 == 2;
  if (!success && !options.echo_value.empty()) {
    connection.refused.push_back(options.echo_value);
  }
  const bool reusable = options.keep && connection.parser->keep_alive() &&
                        connection.refused.size() <= internal::kMaxRefused &&
                        connection.in.empty() && connection.out.empty() &&
                        connection.idle_timeout > core::Duration::zero();
  calls_.erase(call);
  connection.call.reset();
  connection.parser.reset();
  if (reusable) {
    KeepIdle(id);
  } else {
    Close(id);
  }
  handlers_.end(call);
  return false;
}

void Client::HandleDisconnect(SocketId id, IoResult result) {
  Connection& connection = connections_.at(id);
  if (!connection.call) {
    Close(id);
    return;
  }
  const bool started = connection.parser && connection.parser->is_header_done();
  if (result == IoResult::kClosed && started && !connection.discarding &&
      connection.parser->need_eof()) {
    boost::beast::error_code error;
    connection.parser->put_eof(error);
    if (!error) {
      const CallId call = *connection.call;
      Close(id);
      handlers_.end(call);
      return;
    }
  }
  Fail(id, connection.head_reported ? Failure::kCut : Failure::kLost);
}

void Client::Fail(SocketId id, Failure failure) {
  const std::optional<CallId> call = connections_.at(id).call;
  Close(id);
  if (call) handlers_.failed(*call, failure);
}

void Client::KeepIdle(SocketId id) {
  Connection& connection = connections_.at(id);
  connection.deadline = SteadyNow() + connection.idle_timeout;
  idle_[connection.address].push_back(id);
  WaitRead(id);
}

void Client::Cancel(CallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) Close(found->second);
}

void Client::Close(SocketId id) {
  const auto found = connections_.find(id);
  Connection& connection = found->second;
  if (connection.call) {
    calls_.erase(*connection.call);
  } else {
    std::erase(idle_[connection.address], id);
  }
  boost::system::error_code ignored;
  connection.socket.close(ignored);
  connections_.erase(found);
}

void Client::Sweep(core::Instant now) {
  std::vector<SocketId> expired;
  for (const auto& [id, connection] : connections_) {
    const bool has_deadline = !connection.connected || !connection.call;
    if (has_deadline && now >= connection.deadline) expired.push_back(id);
  }
  for (const SocketId id : expired) {
    if (connections_.contains(id)) Fail(id, Failure::kTimedOut);
  }
}

}  // namespace foxquay::net
