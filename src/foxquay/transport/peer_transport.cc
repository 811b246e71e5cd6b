#include "foxquay/transport/peer_transport.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <utility>

#include "foxquay/log/log.h"
#include "foxquay/net/socket.h"

namespace foxquay::transport {
namespace internal {

/// Delay before accepting again after an error.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

/// Minimum time between two log lines about closed connections.
constexpr std::chrono::seconds kLogInterval{1};

/// Time by which a connection without a valid message counts as older.
constexpr std::chrono::hours kUnprovenAge{1};

/// Number of bytes of a message that are read at once; most messages are
/// smaller.
constexpr std::size_t kReadBytes = 65536;

/// Largest datagram that UDP carries.
constexpr std::size_t kMaxDatagramBytes = 65536;

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Prefixes a signed message with its size as a big-endian 32-bit number.
std::string EncodeFrame(const std::string& signed_message) {
  const auto size = static_cast<std::uint32_t>(signed_message.size());
  std::string frame;
  frame.reserve(signed_message.size() + sizeof(size));
  for (const unsigned shift : {24U, 16U, 8U, 0U}) {
    frame += static_cast<char>((size >> shift) & 0xffU);
  }
  return frame + signed_message;
}

std::size_t DecodeSize(const std::array<unsigned char, 4>& bytes) {
  std::size_t size = 0;
  for (const unsigned char byte : bytes) size = (size << 8U) | byte;
  return size;
}

}  // namespace internal

PeerTransport::PeerTransport(boost::asio::io_context& context,
                             PeerTransportOptions options,
                             MessageAuthenticator authenticator,
                             Handler handler)
    : context_(context),
      options_(std::move(options)),
      authenticator_(std::move(authenticator)),
      handler_(std::move(handler)),
      acceptor_(context),
      accept_timer_(context),
      datagrams_(context),
      datagram_buffer_(internal::kMaxDatagramBytes, '\0'),
      inbound_budget_(options_.inbound),
      inbound_owner_(inbound_budget_.AddOwner(
          [this](net::SocketId id) { CloseInbound(id.value()); })) {}

std::error_code PeerTransport::Start() {
  const auto endpoint = net::ParseEndpoint(options_.address);
  if (!endpoint) return endpoint.error();
  const Udp::endpoint udp(endpoint.value().address(), endpoint.value().port());
  boost::system::error_code error;
  acceptor_.open(endpoint.value().protocol(), error);
  if (error) return error;
  acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (error) return error;
  acceptor_.bind(endpoint.value(), error);
  if (error) return error;
  acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) return error;
  datagrams_.open(udp.protocol(), error);
  if (error) return error;
  datagrams_.bind(udp, error);
  if (error) return error;
  Accept();
  ReadDatagram();
  return {};
}

std::error_code PeerTransport::SetPeer(const core::HostId& host,
                                       const std::string& address) {
  const auto endpoint = net::ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  Peer& peer = peers_.try_emplace(host, context_).first->second;
  if (peer.endpoint == endpoint.value()) return {};
  peer.endpoint = endpoint.value();
  if (peer.connection == Connection::kOpen) {
    Disconnect(host, make_error_code(std::errc::address_not_available));
  }
  return {};
}

void PeerTransport::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (stopped_) return;
        if (error) {
          RetryAccept(error);
          return;
        }
        const std::uint64_t id = next_inbound_id_++;
        InboundConnection& inbound =
            inbound_.try_emplace(id, std::move(socket)).first->second;
        inbound.since = net::SteadyNow();
        if (Account(id)) ReadSize(id);
        Accept();
      });
}

void PeerTransport::RetryAccept(const std::error_code& error) {
  log::Write(log::Level::kWarn, "peer_accept_failed",
             {{"error", error.message()}, {"inbound", inbound_.size()}});
  accept_timer_.expires_after(internal::kAcceptRetryDelay);
  accept_timer_.async_wait([this](const boost::system::error_code& ended) {
    if (!ended && !stopped_) Accept();
  });
}

void PeerTransport::ReadSize(std::uint64_t id) {
  InboundConnection& inbound = inbound_.at(id);
  boost::asio::async_read(
      inbound.socket, boost::asio::buffer(inbound.size),
      [this, id](const boost::system::error_code& error, std::size_t) {
        const auto found = inbound_.find(id);
        if (stopped_ || found == inbound_.end()) return;
        const std::size_t size = internal::DecodeSize(found->second.size);
        const bool invalid_size = size < kMacBytes || size > kMaxSignedBytes;
        if (!error && invalid_size) ++counters_.rejected;
        if (error || invalid_size || !found->second.socket.is_open()) {
          RemoveInbound(id);
          return;
        }
        ReadBody(id, size);
      });
}

void PeerTransport::ReadBody(std::uint64_t id, std::size_t size) {
  InboundConnection& inbound = inbound_.at(id);
  // Takes no memory for what the peer has only announced.
  const std::size_t part =
      std::min(size - inbound.received, internal::kReadBytes);
  inbound.body.resize(inbound.received + part);
  if (!Account(id)) return;
  boost::asio::async_read(
      inbound.socket,
      boost::asio::buffer(inbound.body.data() + inbound.received, part),
      [this, id, size](const boost::system::error_code& error,
                       std::size_t count) {
        const auto found = inbound_.find(id);
        if (stopped_ || found == inbound_.end()) return;
        if (error || !found->second.socket.is_open()) {
          RemoveInbound(id);
          return;
        }
        found->second.received += count;
        if (found->second.received < size) {
          ReadBody(id, size);
          return;
        }
        const std::string message = std::exchange(found->second.body, {});
        found->second.received = 0;
        found->second.since = net::SteadyNow();
        if (Receive(message)) found->second.valid = true;
        if (!stopped_ && Account(id)) ReadSize(id);
      });
}

void PeerTransport::CloseInbound(std::uint64_t id) {
  inbound_budget_.Remove(inbound_owner_, net::SocketId(id));
  boost::system::error_code ignored;
  inbound_.at(id).socket.close(ignored);
}

void PeerTransport::RemoveInbound(std::uint64_t id) {
  inbound_budget_.Remove(inbound_owner_, net::SocketId(id));
  inbound_.erase(id);
}

bool PeerTransport::Account(std::uint64_t id) {
  const InboundConnection& inbound = inbound_.at(id);
  net::BufferUse use;
  use.bytes = sizeof(inbound) + inbound.body.capacity();
  use.evictable = true;
  // Connections on which no host has proved itself go first.
  use.since =
      inbound.valid ? inbound.since : inbound.since - internal::kUnprovenAge;
  inbound_budget_.Set(inbound_owner_, net::SocketId(id), use);
  if (!inbound_budget_.exceeded()) return true;
  inbound_budget_.Enforce();
  LogClosedInbound();
  if (inbound.socket.is_open()) return true;
  RemoveInbound(id);
  return false;
}

void PeerTransport::LogClosedInbound() {
  const core::Instant now = net::SteadyNow();
  if (now < next_inbound_log_) return;
  next_inbound_log_ = now + internal::kLogInterval;
  log::Write(log::Level::kWarn, "peer_connections_closed",
             {{"closed", inbound_budget_.evicted() - logged_inbound_},
              {"open", inbound_budget_.connections()},
              {"held_bytes", inbound_budget_.held()}});
  logged_inbound_ = inbound_budget_.evicted();
}

void PeerTransport::ReadDatagram() {
  datagrams_.async_receive_from(
      boost::asio::buffer(datagram_buffer_), datagram_sender_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (stopped_) return;
        if (!error) Receive(datagram_buffer_.substr(0, size));
        if (!stopped_) ReadDatagram();
      });
}

bool PeerTransport::Receive(const std::string& signed_message) {
  auto envelope = authenticator_.Verify(signed_message);
  if (!envelope) {
    ++counters_.rejected;
    return false;
  }
  ++counters_.received_messages;
  counters_.received_bytes += signed_message.size();
  NoteIncarnation(envelope.value().sender, envelope.value().incarnation);
  handler_(std::move(envelope).value());
  return true;
}

void PeerTransport::NoteIncarnation(const core::HostId& host,
                                    std::uint64_t incarnation) {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  const std::uint64_t former = std::exchange(peer.incarnation, incarnation);
  const bool restarted = former != 0 && former != incarnation;
  const bool connected = peer.connection == Connection::kOpen ||
                         peer.connection == Connection::kWriting;
  if (!restarted || !connected) return;
  Close(host, make_error_code(std::errc::connection_reset));
}

void PeerTransport::Send(const core::HostId& host, std::string payload) {
  const auto found = peers_.find(host);
  const auto signed_message = authenticator_.Sign(
      options_.self, options_.incarnation, std::move(payload));
  const bool known = !stopped_ && found != peers_.end();
  if (!known || !signed_message) {
    ++counters_.dropped;
    return;
  }
  std::string frame = internal::EncodeFrame(signed_message.value());
  if (found->second.queued_bytes + frame.size() > kMaxQueuedBytes) {
    ++counters_.dropped;
    return;
  }
  Peer& peer = found->second;
  peer.queued_bytes += frame.size();
  peer.queue.push_back(std::move(frame));
  if (peer.connection == Connection::kIdle) Connect(host);
  if (peer.connection == Connection::kOpen) Write(host);
}

void PeerTransport::SendDatagram(const core::HostId& host,
                                 std::string payload) {
  assert(payload.size() <= kMaxDatagramPayload &&
         "datagram payload exceeds kMaxDatagramPayload");
  const auto found = peers_.find(host);
  if (stopped_ || found == peers_.end()) {
    ++counters_.dropped;
    return;
  }
  const auto signed_message = authenticator_.Sign(
      options_.self, options_.incarnation, std::move(payload));
  if (!signed_message) {
    ++counters_.dropped;
    return;
  }
  const Udp::endpoint endpoint(found->second.endpoint.address(),
                               found->second.endpoint.port());
  boost::system::error_code error;
  datagrams_.send_to(boost::asio::buffer(signed_message.value()), endpoint, 0,
                     error);
  if (error) {
    ++counters_.dropped;
    return;
  }
  ++counters_.sent_messages;
  counters_.sent_bytes += signed_message.value().size();
}

bool PeerTransport::IsCurrent(const core::HostId& host,
                              std::uint64_t number) const {
  return !stopped_ && peers_.at(host).number == number;
}

void PeerTransport::Connect(const core::HostId& host) {
  Peer& peer = peers_.at(host);
  peer.connection = Connection::kConnecting;
  peer.socket = Tcp::socket(context_);
  const std::uint64_t number = ++peer.number;
  peer.socket.async_connect(
      peer.endpoint,
      [this, host, number](const boost::system::error_code& error) {
        if (!IsCurrent(host, number)) return;
        Peer& connected = peers_.at(host);
        if (error) {
          Disconnect(host, error);
          return;
        }
        boost::system::error_code ignored;
        const auto timeout =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                kUnacknowledgedTimeout);
        connected.socket.set_option(Tcp::no_delay(true), ignored);
        connected.socket.set_option(
            internal::UserTimeout(static_cast<int>(timeout.count())), ignored);
        connected.connection = Connection::kOpen;
        connected.established = std::chrono::steady_clock::now();
        AwaitEnd(host);
        Write(host);
      });
  peer.timer.expires_after(kConnectTimeout);
  peer.timer.async_wait(
      [this, host, number](const boost::system::error_code& error) {
        if (error || !IsCurrent(host, number)) return;
        if (peers_.at(host).connection != Connection::kConnecting) return;
        Disconnect(host, make_error_code(std::errc::timed_out));
      });
}

void PeerTransport::AwaitEnd(const core::HostId& host) {
  Peer& peer = peers_.at(host);
  peer.socket.async_read_some(
      boost::asio::buffer(&peer.received, 1),
      [this, host, number = peer.number](const boost::system::error_code& error,
                                         std::size_t) {
        if (!IsCurrent(host, number)) return;
        if (peers_.at(host).connection == Connection::kClosing) return;
        std::error_code reason = error;
        if (!error) reason = make_error_code(std::errc::protocol_error);
        Close(host, reason);
      });
}

void PeerTransport::Write(const core::HostId& host) {
  Peer& peer = peers_.at(host);
  if (peer.queue.empty()) return;
  peer.connection = Connection::kWriting;
  boost::asio::async_write(
      peer.socket, boost::asio::buffer(peer.queue.front()),
      [this, host, number = peer.number](const boost::system::error_code& error,
                                         std::size_t size) {
        if (!IsCurrent(host, number)) return;
        Peer& written = peers_.at(host);
        const bool closing = written.connection == Connection::kClosing;
        if (error || closing) {
          std::error_code reason = error;
          if (closing) reason = written.error;
          Disconnect(host, reason);
          return;
        }
        ++counters_.sent_messages;
        counters_.sent_bytes += size;
        written.queued_bytes -= size;
        written.queue.pop_front();
        written.connection = Connection::kOpen;
        Write(host);
      });
}

void PeerTransport::Close(const core::HostId& host, std::error_code error) {
  Peer& peer = peers_.at(host);
  if (peer.connection != Connection::kWriting) {
    Disconnect(host, error);
    return;
  }
  // The write must not go on in the next connection.
  boost::system::error_code ignored;
  peer.socket.close(ignored);
  peer.connection = Connection::kClosing;
  peer.error = error;
}

void PeerTransport::Disconnect(const core::HostId& host,
                               std::error_code error) {
  Peer& peer = peers_.at(host);
  const bool established = peer.connection == Connection::kOpen ||
                           peer.connection == Connection::kWriting ||
                           peer.connection == Connection::kClosing;
  const ConnectionLoss loss{host, established, peer.queue.size(), error};
  boost::system::error_code ignored;
  peer.socket.close(ignored);
  ++peer.number;
  peer.connection = Connection::kIdle;
  // A host that accepts connections and ends them at once is not to be
  // connected to in a loop.
  const bool lasted =
      established &&
      std::chrono::steady_clock::now() - peer.established >= kReconnectDelay;
  if (established) ++counters_.lost_connections;
  if (!established) {
    counters_.dropped += peer.queue.size();
    peer.queue.clear();
    peer.queued_bytes = 0;
  }
  if (!lasted) {
    BackOff(host);
  } else if (!peer.queue.empty()) {
    Connect(host);
  }
  if (loss_handler_) loss_handler_(loss);
}

void PeerTransport::BackOff(const core::HostId& host) {
  Peer& peer = peers_.at(host);
  peer.connection = Connection::kBackoff;
  peer.timer.expires_after(kReconnectDelay);
  peer.timer.async_wait([this, host](const boost::system::error_code& error) {
    if (stopped_ || error) return;
    Peer& delayed = peers_.at(host);
    if (delayed.connection != Connection::kBackoff) return;
    delayed.connection = Connection::kIdle;
    if (!delayed.queue.empty()) Connect(host);
  });
}

void PeerTransport::Stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  datagrams_.close(ignored);
  for (auto& [host, peer] : peers_) {
    peer.socket.close(ignored);
    peer.timer.cancel();
  }
  for (auto& [id, inbound] : inbound_) inbound.socket.close(ignored);
}

}  // namespace foxquay::transport
