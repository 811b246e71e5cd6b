#ifndef FOXQUAY_TRANSPORT_PEER_TRANSPORT_H_
#define FOXQUAY_TRANSPORT_PEER_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <system_error>

#include "foxquay/core/error.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/net/buffer_budget.h"
#include "foxquay/schema/transport.h"
#include "foxquay/transport/fwd.h"
#include "foxquay/transport/message_authenticator.h"

namespace foxquay::transport {

/// Largest payload that fits a datagram on links with an MTU of 1,500 bytes.
inline constexpr std::size_t kMaxDatagramPayload = 1200;

/// Bytes queued for one host; further messages to it are dropped.
inline constexpr std::size_t kMaxQueuedBytes = std::size_t{8} << 20U;

/// Time without a TCP acknowledgement after which a connection is closed, so
/// that messages are not delayed by retransmission back-off once a network
/// partition has healed. Allows three retransmissions within a region. Together
/// with the time to reconnect it stays below the time in which a configuration
/// change must be in force on all hosts.
inline constexpr core::Duration kUnacknowledgedTimeout =
    std::chrono::milliseconds(700);

/// Timeout of a connection attempt. TCP retransmits a lost SYN only after one
/// second, so a new attempt is faster.
inline constexpr core::Duration kConnectTimeout =
    std::chrono::milliseconds(300);

/// Delay between the loss of a connection and the next attempt to connect.
inline constexpr core::Duration kReconnectDelay =
    std::chrono::milliseconds(100);

struct PeerTransportOptions {
  core::HostId self;              ///< Sender of all messages.
  std::uint64_t incarnation = 0;  ///< Incarnation of this process.
  std::string address;            ///< `IP:PORT` to listen on, TCP and UDP.
  /// What the connections from other hosts may use together; those that have
  /// waited longest for the rest of a message, or for one, are closed first.
  net::BufferLimits inbound = {std::size_t{64} << 20U, 4096};
};

/// A connection to another host that ended or could not be made.
struct ConnectionLoss {
  core::HostId host;
  bool established = false;  ///< Whether it had been made.
  std::size_t unsent = 0;    ///< Messages that were not written.
  std::error_code error;
};

/// Counters since the start of the process. A sent message counts once the
/// kernel has taken it.
struct PeerTransportCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected = 0;  ///< Wrong size, MAC, cluster or encoding.
  std::uint64_t dropped = 0;   ///< Queue full, host unknown or send failed.
  std::uint64_t lost_connections = 0;  ///< Established ones that ended.
};

/// Carries signed messages between hosts, over one TCP connection per direction
/// and over UDP datagrams on the same port number.
///
/// Messages may be lost, and duplicated or reordered across reconnects; a loss
/// is reported (SetLossHandler) unless the host does not answer at all. Not
/// thread-safe: all calls and the handler run on the thread of the
/// io_context.
class PeerTransport {
 public:
  using Handler = std::function<void(schema::Envelope)>;
  using LossHandler = std::function<void(const ConnectionLoss&)>;

  PeerTransport(boost::asio::io_context& context, PeerTransportOptions options,
                MessageAuthenticator authenticator, Handler handler);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Sets the function that is called for each connection to another host that
  /// is lost; messages written to it shortly before may not have arrived.
  /// Precondition: Start was not called.
  void SetLossHandler(LossHandler handler) {
    loss_handler_ = std::move(handler);
  }

  /// Starts to listen on TCP and UDP; returns the system's error on failure, or
  /// kInvalid if the own address is not `IP:PORT`.
  [[nodiscard]] std::error_code Start();

  /// Sets or replaces the address of a host. An idle connection to the old
  /// address is closed.
  ///
  /// Errors: kInvalid if the address is not `IP:PORT`.
  [[nodiscard]] std::error_code SetPeer(const core::HostId& host,
                                        const std::string& address);

  /// Queues a message to be sent over TCP; connects first if necessary.
  void Send(const core::HostId& host, std::string payload);

  /// Sends a message in one UDP datagram without blocking.
  ///
  /// Precondition: the payload has at most kMaxDatagramPayload bytes.
  void SendDatagram(const core::HostId& host, std::string payload);

  /// Closes all sockets; pending operations end without a call of the handler.
  void Stop();

  [[nodiscard]] const PeerTransportCounters& counters() const noexcept {
    return counters_;
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Udp = boost::asio::ip::udp;

  enum class Connection {
    kIdle,
    kConnecting,
    kOpen,
    kWriting,
    kClosing,  ///< Closed; a write has not returned yet.
    kBackoff,
  };

  struct Peer {
    explicit Peer(boost::asio::io_context& context)
        : socket(context), timer(context) {}
    Tcp::endpoint endpoint;
    Tcp::socket socket;
    boost::asio::steady_timer timer;
    Connection connection = Connection::kIdle;
    /// Number of the connection, so that operations on a former one are told
    /// from those on the current one.
    std::uint64_t number = 0;
    core::Instant established;      ///< When the connection was made.
    std::deque<std::string> queue;  ///< Frames that were not written.
    std::size_t queued_bytes = 0;
    char received = 0;              ///< Buffer of AwaitEnd.
    std::error_code error;          ///< Why the connection is being closed.
    std::uint64_t incarnation = 0;  ///< Latest that a message came from.
  };

  struct InboundConnection {
    explicit InboundConnection(Tcp::socket accepted)
        : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::array<unsigned char, 4> size{};
    std::string body;
    std::size_t received = 0;  ///< Bytes of the body.
    core::Instant since;       ///< When the last message was complete.
    bool valid = false;        ///< A valid message has arrived.
  };

  void Accept();
  /// Accepts again after a delay; the reason, such as a full table of
  /// descriptors, does not pass at once.
  void RetryAccept(const std::error_code& error);
  void ReadSize(std::uint64_t id);
  /// Reads the next part of a message of `size` bytes.
  void ReadBody(std::uint64_t id, std::size_t size);
  /// Closes a connection; the handler of its pending read removes it.
  void CloseInbound(std::uint64_t id);
  /// Removes a connection without a pending read.
  void RemoveInbound(std::uint64_t id);
  /// Counts what a connection without a pending read uses, which may close
  /// others, or this one, which is removed then; returns whether it is open.
  bool Account(std::uint64_t id);
  void LogClosedInbound();
  void ReadDatagram();
  /// Passes a message on; returns whether it is valid.
  bool Receive(const std::string& signed_message);
  void Connect(const core::HostId& host);
  void Write(const core::HostId& host);
  /// Reads from a connection, on which nothing is ever received, to learn of
  /// its end when it ends and not when a message has been lost in it.
  void AwaitEnd(const core::HostId& host);
  /// Returns whether an operation of the connection `number` concerns the
  /// current connection to the host.
  [[nodiscard]] bool IsCurrent(const core::HostId& host,
                               std::uint64_t number) const;
  /// Closes the connection, once its pending write has returned.
  void Close(const core::HostId& host, std::error_code error);
  /// Ends a connection without a pending write. Messages that were not written
  /// go out on a new one if the connection had been made, and are dropped
  /// otherwise.
  void Disconnect(const core::HostId& host, std::error_code error);
  /// Lets a host's next connection attempt wait.
  void BackOff(const core::HostId& host);
  /// Closes a connection to a previous process of a host that has restarted
  /// without closing it, such as after a loss of power.
  void NoteIncarnation(const core::HostId& host, std::uint64_t incarnation);

  boost::asio::io_context& context_;
  PeerTransportOptions options_;
  MessageAuthenticator authenticator_;
  Handler handler_;
  LossHandler loss_handler_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  Udp::socket datagrams_;
  Udp::endpoint datagram_sender_;
  std::string datagram_buffer_;
  std::map<core::HostId, Peer> peers_;
  std::map<std::uint64_t, InboundConnection> inbound_;
  net::BufferBudget inbound_budget_;
  net::BufferOwnerId inbound_owner_;
  std::uint64_t logged_inbound_ = 0;  ///< Closed connections that were logged.
  core::Instant next_inbound_log_;    ///< When further ones may be.
  std::uint64_t next_inbound_id_ = 1;
  bool stopped_ = false;
  PeerTransportCounters counters_;
};

}  // namespace foxquay::transport

#endif  // FOXQUAY_TRANSPORT_PEER_TRANSPORT_H_
