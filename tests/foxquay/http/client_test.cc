#include "foxquay/http/client.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace foxquay::http {
namespace {

/// Answers each request with given bytes and then closes the connection, on a
/// thread of its own. Reads requests that come at once. Thread-safe.
class RawServer {
 public:
  explicit RawServer(std::string answer)
      : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        answer_(std::move(answer)) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RawServer() {
    context_.stop();
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// Returns `IP:PORT` of the listener.
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Socket socket) {
          if (error) return;
          Answer(std::move(socket));
          Accept();
        });
  }

  void Answer(Socket socket) {
    std::string request(65536, '\0');
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(request), error);
    // The client finds out whether the port is open on another connection.
    if (error) return;
    boost::asio::write(socket, boost::asio::buffer(answer_), error);
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
  std::thread thread_;
};

ServiceResult Call(const RawServer& server) {
  ServiceSend call;
  call.method = "POST";
  call.address = server.address();
  call.path = "/";
  call.headers = {{"Content-Type", "text/plain"}};
  call.body = "payload";
  call.time_left = std::chrono::seconds(5);
  return CallService(call);
}

dispatch::LegEnd Leg(const RawServer& server) {
  dispatch::StartLeg leg;
  leg.time_left = std::chrono::seconds(5);
  leg.chain.emplace_back();
  leg.chain.back().address = server.address();
  return RunLeg(leg, "r1", [](TokenLine&&) { return true; }).end;
}

const std::string kLength =
    "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 12\r\n\r\nhello, world";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    "6\r\nhello,\r\n6\r\n world\r\n0\r\n\r\n";
const std::string kToEnd = "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\nhello, world";
const std::string kInterim = "HTTP/1.1 100 Continue\r\nStamp: i\r\n\r\n";

}  // namespace

// A service that closed inside its head was taken for one that had answered 200
// without a body.
TEST_CASE("a response cut at any byte is no reply") {
  struct Case {
    std::string bytes;
    std::string last;  ///< What follows is not needed for the whole body.
  };
  for (const Case& response :
       {Case{kLength, "world"}, Case{kChunked, "0\r\n"},
        Case{kInterim + kLength, "world"}, Case{kToEnd, "\r\n\r\n"}}) {
    const std::size_t whole =
        response.bytes.rfind(response.last) + response.last.size();
    for (std::size_t cut = 0; cut <= response.bytes.size(); ++cut) {
      const std::string bytes = response.bytes.substr(0, cut);
      CAPTURE(bytes);
      const RawServer server(bytes);
      const ServiceResult result = Call(server);
      CHECK(result.sent);
      if (cut < whole) CHECK_FALSE(result.reply);
      if (cut < response.bytes.size()) continue;
      REQUIRE(result.reply);
      CHECK(result.reply->status == 200);
      CHECK(result.reply->body == "hello, world");
      CHECK(std::find(result.reply->headers.begin(),
                      result.reply->headers.end(),
                      std::pair<std::string, std::string>("Stamp", "s")) !=
            result.reply->headers.end());
    }
  }
}

// A leg is started elsewhere after a refusal, as nothing of it has run.
TEST_CASE("a leg is not refused by a head that ends early") {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nStamp: s\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t cut = 0; cut <= refusal.size(); ++cut) {
    const std::string bytes = refusal.substr(0, cut);
    CAPTURE(bytes);
    const RawServer server(bytes);
    CHECK(Leg(server) == (cut == refusal.size() ? dispatch::LegEnd::kRefused
                                                : dispatch::LegEnd::kFailed));
  }
}

}  // namespace foxquay::http
