#include "foxquay/net/server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <chrono>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "foxquay/log/log.h"
#include "foxquay/net/parse.h"

namespace foxquay::net {
namespace internal {

namespace http = boost::beast::http;

/// Length of the accept queue. If it overflows, callers retransmit their SYN
/// only after seconds.
constexpr int kBacklog = 1024;

/// Delay before accepting again after an error, such as a lack of file
/// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

/// Number of bytes received behind a request that is being answered from which
/// reading pauses: one read.
constexpr std::size_t kMaxReadAhead = 16384;

/// Number of unsent bytes of earlier responses from which a connection's next
/// request waits. About what the kernel takes of a response at once.
constexpr std::size_t kMaxUnreadBytes = 65536;

/// Capacity that the buffers of a connection keep while they are empty: a usual
/// request or response without allocation.
constexpr std::size_t kKeptCapacity = 4096;

/// Memory that a connection takes without its buffers: this class's, Asio's and
/// the parser's.
constexpr std::size_t kConnectionBytes = 2048;

/// Memory that a header field takes in Boost.Beast without its text.
constexpr std::size_t kFieldBytes = 96;

/// Copies of a body while a request is answered: the one received and the one
/// that is being sent to an upstream.
constexpr std::size_t kBodyCopies = 2;

/// Retry-After of requests that are refused for lack of memory: the time that
/// callers have to complete a request they have begun is a few seconds.
constexpr std::chrono::milliseconds kMemoryRetryAfter{1000};

/// Minimum time between two log lines about rejected requests.
constexpr std::chrono::seconds kMalformedLogInterval{1};

/// Returns the memory that fields take.
std::size_t FieldsBytes(const Fields& fields) {
  std::size_t bytes = 0;
  for (const auto& field : fields) {
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

/// Releases the memory of an empty buffer that was large.
void Shrink(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kKeptCapacity) {
    std::string().swap(buffer);
  }
}

constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kBodyTooLarge = 413;

unsigned StatusFor(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) return kHeaderTooLarge;
  if (error == http::error::body_limit) return kBodyTooLarge;
  return 400;
}

/// Returns the status by which a request is rejected whose body has no length
/// that this server can know (RFC 9112, 6.1 and 6.3); nothing if it has one.
/// The bytes of such a body would be taken for the next request.
template <class Head>
std::optional<unsigned> FramingError(const Head& head) {
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kNotImplemented = 501;
  const auto [first, end] = head.equal_range(http::field::transfer_encoding);
  if (first == end) return std::nullopt;
  std::size_t codings = 0;
  std::size_t chunked = 0;
  bool chunked_last = false;
  for (auto field = first; field != end; ++field) {
    for (const auto& coding : http::token_list(field->value())) {
      chunked_last = boost::beast::iequals(coding, "chunked");
      chunked += chunked_last ? 1 : 0;
      ++codings;
    }
  }
  const bool valid = chunked_last && chunked == 1 && head.version() > 10 &&
                     head.find(http::field::content_length) == head.end();
  if (!valid) return kBadRequest;
  if (codings > 1) return kNotImplemented;
  return std::nullopt;
}

}  // namespace internal

Server::Server(boost::asio::io_context& context, ServerHandlers handlers)
    : context_(context), handlers_(std::move(handlers)) {}

void Server::SetBudget(BufferBudget& budget) {
  budget_ = &budget;
  budget_owner_ = budget.AddOwner([this](SocketId id) { Evict(id); });
}

std::error_code Server::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  Listener& listener = listeners_.emplace_back(context_);
  Tcp::acceptor& acceptor = listener.acceptor;
  boost::system::error_code error;
  acceptor.open(endpoint.value().protocol(), error);
  if (error) return error;
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (error) return error;
  acceptor.bind(endpoint.value(), error);
  if (error) return error;
  acceptor.listen(internal::kBacklog, error);
  if (error) return error;
  Accept(listener, listeners_.size() - 1);
  return {};
}

std::string Server::address(std::size_t listener) const {
  const Tcp::endpoint local =
      std::next(listeners_.begin(), static_cast<std::ptrdiff_t>(listener))
          ->acceptor.local_endpoint();
  return local.address().to_string() + ":" + std::to_string(local.port());
}

void Server::Accept(Listener& listener, std::size_t index) {
  listener.acceptor.async_accept([this, &listener, index](
                                     const boost::system::error_code& error,
                                     Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      log::Write(log::Level::kWarn, "accept_failed",
                 {{"error", error.message()}});
      listener.retry_timer.expires_after(internal::kAcceptRetryDelay);
      listener.retry_timer.async_wait(
          [this, &listener, index](const boost::system::error_code& ended) {
            if (!ended && listener.acceptor.is_open()) Accept(listener, index);
          });
      return;
    }
    SetSocketOptions(socket);
    const SocketId id(next_socket_++);
    Connection& connection =
        connections_.try_emplace(id, std::move(socket), index).first->second;
    connection.wait_start = SteadyNow();
    Account(id);
    HandleReadable(id);
    if (listener.acceptor.is_open()) Accept(listener, index);
  });
}

void Server::WaitRead(SocketId id) {
  AwaitReady(connections_, id, Tcp::socket::wait_read,
             &Connection::read_waiting,
             [this](SocketId ready) { HandleReadable(ready); });
}

void Server::WaitWrite(SocketId id) {
  AwaitReady(connections_, id, Tcp::socket::wait_write,
             &Connection::write_waiting,
             [this](SocketId ready) { HandleWritable(ready); });
}

void Server::HandleWritable(SocketId id) {
  Flush(id);
  const auto found = connections_.find(id);
  if (found == connections_.end() || !CanParse(found->second)) return;
  // The next request may have waited until the caller reads.
  if (found->second.in.empty()) {
    WaitRead(id);
  } else {
    ParseLater(id);
  }
}

void Server::HandleReadable(SocketId id) {
  Connection& connection = connections_.at(id);
  const IoResult result = Read(connection.socket, connection.in);
  if (result == IoResult::kClosed || result == IoResult::kFailed) {
    Disconnect(id);
    return;
  }
  if (result == IoResult::kDone && CanParse(connection)) {
    Parse(id);
    if (!connections_.contains(id)) return;
  }
  Account(id);
  if (CanRead(connections_.at(id))) WaitRead(id);
}

bool Server::CanParse(const Connection& connection) {
  return !connection.exchange && !connection.close_when_sent &&
         connection.out.size() <= internal::kMaxUnreadBytes;
}

bool Server::CanRead(const Connection& connection) {
  return connection.parser || connection.in.size() < internal::kMaxReadAhead;
}

void Server::ParseLater(SocketId id) {
  boost::asio::post(context_, [this, id] {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !CanParse(found->second)) return;
    if (!found->second.in.empty()) {
      Parse(id);
      if (!connections_.contains(id)) return;
      Account(id);
    }
    if (CanRead(connections_.at(id))) WaitRead(id);
  });
}

void Server::Parse(SocketId id) {
  Connection& connection = connections_.at(id);
  if (!connection.parser) {
    connection.parser.emplace();
    connection.parser->header_limit(limits_.max_header_bytes);
    connection.parser->body_limit(limits_.max_body_bytes);
    connection.head_bytes = 0;
    connection.head_lines = 0;
    connection.wait_start = SteadyNow();
  }
  if (Feed(id) && connection.parser->is_done()) FinishRequest(id);
}

bool Server::Feed(SocketId id) {
  Connection& connection = connections_.at(id);
  Parser& parser = *connection.parser;
  while (!connection.in.empty() && !parser.is_done()) {
    const bool in_head = !parser.is_header_done();
    // Parses no more than the head, so that its size is known.
    parser.eager(!in_head);
    boost::beast::error_code error;
    const std::size_t used = PutBytes(parser, connection.in, error);
    if (in_head) {
      connection.head_bytes += used;
      const auto begin = connection.in.cbegin();
      connection.head_lines += static_cast<std::size_t>(
          std::count(begin, begin + static_cast<std::ptrdiff_t>(used), '\n'));
    }
    connection.in.erase(0, used);
    const bool need_more =
        error == internal::http::error::need_more || (!error && used == 0);
    if (error && !need_more) {
      Reject(id, internal::StatusFor(error));
      return false;
    }
    if (in_head && parser.is_header_done()) {
      if (const auto status = internal::FramingError(parser.get())) {
        Reject(id, *status);
        return false;
      }
    }
    // The parser limits each part of a head that arrives, but not their sum,
    // and neither the line before a chunk nor the trailer.
    const std::size_t pending = need_more ? connection.in.size() : 0;
    const std::size_t size =
        in_head ? connection.head_bytes + pending : pending;
    if (size > limits_.max_header_bytes) {
      Reject(id, internal::kHeaderTooLarge);
      return false;
    }
    if (need_more) return true;
  }
  return true;
}

void Server::FinishRequest(SocketId id) {
  Connection& connection = connections_.at(id);
  auto message = connection.parser->release();
  message.body().shrink_to_fit();
  connection.keep_alive = message.keep_alive();
  connection.head_only = message.method() == internal::http::verb::head;
  connection.parser.reset();
  const std::size_t serving =
      internal::kBodyCopies * message.body().capacity() +
      internal::FieldsBytes(message.base());
  if (budget_ != nullptr && !budget_->Admit(serving)) {
    connection.keep_alive = connection.keep_alive && !draining_;
    WriteResponse(connection, RefuseForMemory(message.base()));
    CompleteResponse(id);
    return;
  }
  const ExchangeId exchange(next_exchange_++);
  connection.exchange = exchange;
  connection.serving = serving;
  exchanges_[exchange] = id;
  Request request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  request.body = std::move(message.body());
  request.fields = std::move(message.base());
  request.listener = connection.listener;
  handlers_.request(exchange, std::move(request));
}

Response Server::RefuseForMemory(const Fields& fields) const {
  Response refusal = MakeRefusal(503, "too many requests are being received",
                                 internal::kMemoryRetryAfter);
  if (handlers_.refused) handlers_.refused(fields, refusal);
  return refusal;
}

void Server::Reject(SocketId id, unsigned status) {
  ++malformed_;
  if (const core::Instant now = SteadyNow(); now >= next_malformed_log_) {
    next_malformed_log_ = now + internal::kMalformedLogInterval;
    log::Write(log::Level::kInfo, "request_malformed",
               {{"status", status}, {"count", std::exchange(malformed_, 0)}});
  }
  Connection& connection = connections_.at(id);
  connection.parser.reset();
  connection.in.clear();
  std::string reason = "malformed request\n";
  if (status == internal::kBodyTooLarge) {
    reason = "the body exceeds " + std::to_string(limits_.max_body_bytes) +
             " bytes\n";
  }
  connection.out +=
      Serialize(MakeResponse(status, "text/plain", reason), false);
  connection.close_when_sent = true;
  Flush(id);
}

Server::Connection* Server::Find(ExchangeId exchange, SocketId& id) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return nullptr;
  id = found->second;
  return &connections_.at(id);
}

void Server::Respond(ExchangeId exchange, const Response& response) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr) return;
  connection->keep_alive = connection->keep_alive && !draining_;
  WriteResponse(*connection, response);
  CompleteResponse(id);
}

void Server::WriteResponse(Connection& connection, const Response& response) {
  connection.out += Serialize(response, connection.keep_alive);
  if (!connection.head_only) return;
  connection.out.resize(connection.out.size() - response.body.size());
}

void Server::Start(ExchangeId exchange, const Response& head) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr) return;
  connection->keep_alive = connection->keep_alive && !draining_;
  connection->out += SerializeHead(head, connection->keep_alive);
  Flush(id);
}

void Server::Send(ExchangeId exchange, const std::string& data) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr || data.empty() || connection->head_only) return;
  connection->out += SerializeChunk(data);
  Flush(id);
}

void Server::End(ExchangeId exchange) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr) return;
  if (!connection->head_only) connection->out += "0\r\n\r\n";
  CompleteResponse(id);
}

void Server::Abort(ExchangeId exchange) {
  SocketId id;
  if (Find(exchange, id) != nullptr) Close(id);
}

void Server::CompleteResponse(SocketId id) {
  Connection& connection = connections_.at(id);
  if (connection.exchange) exchanges_.erase(*connection.exchange);
  connection.exchange.reset();
  connection.serving = 0;
  connection.wait_start = SteadyNow();
  if (!connection.keep_alive) connection.close_when_sent = true;
  Flush(id);
  if (!connections_.contains(id)) return;
  if (!connections_.at(id).in.empty()) {
    // The caller has pipelined its next request. Parsing it from the event loop
    // keeps many pipelined requests from growing the stack.
    ParseLater(id);
  } else {
    WaitRead(id);
  }
}

void Server::Flush(SocketId id) {
  Connection& connection = connections_.at(id);
  const IoResult result = Write(connection.socket, connection.out);
  if (result == IoResult::kFailed || connection.out.size() > kMaxUnsentBytes) {
    Disconnect(id);
    return;
  }
  if (result == IoResult::kDone && connection.close_when_sent) {
    Close(id);
    return;
  }
  Account(id);
  if (result == IoResult::kWouldBlock) WaitWrite(id);
}

void Server::Account(SocketId id) {
  Connection& connection = connections_.at(id);
  internal::Shrink(connection.in);
  internal::Shrink(connection.out);
  if (budget_ == nullptr) return;
  BufferUse use;
  use.serving = connection.serving;
  use.bytes = internal::kConnectionBytes + connection.in.capacity() +
              connection.out.capacity() + connection.serving;
  if (connection.parser) {
    use.bytes += connection.parser->get().body().capacity() +
                 connection.head_bytes +
                 internal::kFieldBytes * connection.head_lines;
  }
  if (connection.out.empty()) {
    connection.unread_since.reset();
  } else if (!connection.unread_since) {
    connection.unread_since = SteadyNow();
  }
  use.evictable = !connection.exchange || !connection.out.empty() ||
                  connection.in.size() >= internal::kMaxReadAhead;
  use.since = connection.unread_since.value_or(connection.wait_start);
  if (use == connection.use) return;
  connection.use = use;
  budget_->Set(budget_owner_, id, use);
  if (!budget_->exceeded() || enforcing_) return;
  // Closing other connections from here would end exchanges that the caller of
  // this function may be working on.
  enforcing_ = true;
  boost::asio::post(context_, [this] {
    enforcing_ = false;
    budget_->Enforce();
  });
}

void Server::Evict(SocketId id) {
  Connection& connection = connections_.at(id);
  if (!connection.parser) {
    Disconnect(id);
    return;
  }
  connection.out +=
      Serialize(RefuseForMemory(connection.parser->get().base()), false);
  (void)Write(connection.socket, connection.out);
  Close(id);
}

void Server::Disconnect(SocketId id) {
  const std::optional<ExchangeId> exchange = connections_.at(id).exchange;
  Close(id);
  if (exchange) handlers_.disconnected(*exchange);
}

void Server::Close(SocketId id) {
  const auto found = connections_.find(id);
  if (found->second.exchange) exchanges_.erase(*found->second.exchange);
  if (budget_ != nullptr) budget_->Remove(budget_owner_, id);
  boost::system::error_code ignored;
  found->second.socket.close(ignored);
  connections_.erase(found);
}

void Server::StopAccepting() {
  boost::system::error_code ignored;
  for (Listener& listener : listeners_) listener.acceptor.close(ignored);
  std::vector<SocketId> idle;
  for (const auto& [id, connection] : connections_) {
    const bool idle_connection = !connection.exchange && !connection.parser &&
                                 connection.in.empty() &&
                                 connection.out.empty();
    if (idle_connection) idle.push_back(id);
  }
  for (const SocketId id : idle) Close(id);
}

void Server::Sweep(core::Instant now) {
  std::vector<SocketId> expired;
  for (const auto& [id, connection] : connections_) {
    if (connection.exchange) continue;
    const core::Duration limit =
        connection.parser ? limits_.header_timeout : limits_.idle_timeout;
    if (now - connection.wait_start > limit) expired.push_back(id);
  }
  for (const SocketId id : expired) Close(id);
}

std::size_t Server::open_requests() const {
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(), [](const auto& item) {
        const Connection& connection = item.second;
        return connection.exchange || connection.parser ||
               !connection.out.empty();
      }));
}

}  // namespace foxquay::net
