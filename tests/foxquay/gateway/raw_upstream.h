#ifndef FOXQUAY_TESTS_FOXQUAY_GATEWAY_RAW_UPSTREAM_H_
#define FOXQUAY_TESTS_FOXQUAY_GATEWAY_RAW_UPSTREAM_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace foxquay::gateway {

/// An upstream that answers each request with given bytes and then ends the
/// connection. Reads requests whose body comes with their head. Not
/// thread-safe; must outlive the handlers of the context.
class RawUpstream {
 public:
  /// What is sent, and how the connection ends.
  struct Answer {
    std::string bytes;
    bool reset = false;  ///< Ends with a reset instead of in order.
    /// Sent after `bytes` again and again until the other side closes.
    std::string repeated = {};
    /// No further connection is accepted, as of a process that has ended.
    bool crash = false;
  };
  /// Receives the request as text.
  using Handler = std::function<Answer(const std::string& request)>;

  RawUpstream(boost::asio::io_context& context, const std::string& ip,
              Handler handler)
      : acceptor_(context, {boost::asio::ip::make_address(ip), 0}),
        handler_(std::move(handler)) {
    Accept();
  }

  /// Returns `IP:PORT` of the listener.
  [[nodiscard]] std::string address() const {
    const auto local = acceptor_.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Socket socket) {
          if (error) return;
          Read(std::make_shared<Socket>(std::move(socket)),
               std::make_shared<std::string>(65536, '\0'));
          Accept();
        });
  }

  void Read(const std::shared_ptr<Socket>& socket,
            const std::shared_ptr<std::string>& buffer) {
    socket->async_read_some(
        boost::asio::buffer(*buffer),
        [this, socket, buffer](const boost::system::error_code& error,
                               std::size_t size) {
          if (error) return;
          Answer answer = handler_(buffer->substr(0, size));
          boost::system::error_code ignored;
          if (answer.crash) acceptor_.close(ignored);
          Respond(socket, std::move(answer));
        });
  }

  static void Respond(const std::shared_ptr<Socket>& socket, Answer answer) {
    if (!answer.repeated.empty()) {
      RespondWithoutEnd(socket, std::make_shared<Answer>(std::move(answer)));
      return;
    }
    const auto bytes = std::make_shared<std::string>(std::move(answer.bytes));
    boost::asio::async_write(
        *socket, boost::asio::buffer(*bytes),
        [socket, bytes, reset = answer.reset](const boost::system::error_code&,
                                              std::size_t) {
          boost::system::error_code ignored;
          if (reset) {
            socket->set_option(boost::asio::socket_base::linger(true, 0),
                               ignored);
          }
          socket->close(ignored);
        });
  }

  static void RespondWithoutEnd(const std::shared_ptr<Socket>& socket,
                                const std::shared_ptr<Answer>& answer) {
    while (answer->bytes.size() < 65536) answer->bytes += answer->repeated;
    boost::asio::async_write(
        *socket, boost::asio::buffer(answer->bytes),
        [socket, answer](const boost::system::error_code& error, std::size_t) {
          if (error) return;
          answer->bytes.clear();
          RespondWithoutEnd(socket, answer);
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_TESTS_FOXQUAY_GATEWAY_RAW_UPSTREAM_H_
