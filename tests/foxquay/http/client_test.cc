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
      "HTTP/1.1 503 Busy\r\nx-foxquay-outcome: not-run\r\n"
      "Content-Length: 0\r\n\r\n";
  for (std::size_t cut = 0; cut <= refusal.size(); ++cut) {
    const std::string bytes = refusal.substr(0, cut);
    CAPTURE(bytes);
    const RawServer server(bytes);
    CHECK(Leg(server) == (cut == refusal.size() ? dispatch::LegEnd::kRefused
                                                : dispatch::LegEnd::kFailed));
  }
}

// A leg that an upstream had executed in part was taken for not run, whatever
// the upstream that failed had answered with 4xx or 503.
TEST_CASE("a leg is refused only if its upstream states so") {
  const std::string status = GENERATE("400 X", "429 X", "503 X");
  const std::string end = "Content-Length: 0\r\n\r\n";
  const std::string outcome = GENERATE("", "X-Foxquay-Outcome: unknown\r\n");
  CHECK(Leg(RawServer("HTTP/1.1 " + status + "\r\n" + outcome + end)) ==
        dispatch::LegEnd::kFailed);
  const std::string not_run = "X-Foxquay-Outcome: not-run\r\n";
  CHECK(Leg(RawServer("HTTP/1.1 " + status + "\r\n" + not_run + end)) ==
        dispatch::LegEnd::kRefused);
  CHECK(Leg(RawServer("HTTP/1.1 200 X\r\n" + not_run + end)) ==
        dispatch::LegEnd::kFailed);
}

// A name with a blank at its ends was passed on without it, and a line without
// a colon was skipped.
TEST_CASE("what cannot be a response of HTTP/1 is no reply") {
  const std::string body = "Content-Length: 2\r\n\r\nok";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
  const std::string bytes = GENERATE_COPY(
      "HTTP/1.1 000 X\r\n" + body, "HTTP/1.1 099 X\r\n" + body,
      "HTTP/1.1 600 X\r\n" + body, "HTTP/1.1 20 X\r\n" + body,
      "HTTP/1.1 2x0 X\r\n" + body, "HTTP/1.1 2000 X\r\n" + body,
      "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + ok + body,
      "HTTP/1.1200 X\r\n" + body, ok + "A B: c\r\n" + body,
      ok + "A\x01: c\r\n" + body, ok + "A\tB: c\r\n" + body,
      ok + std::string("A\0: c\r\n", 7) + body, ok + "A\x7f: c\r\n" + body,
      ok + "A\xc3\xa4: c\r\n" + body, ok + "A : c\r\n" + body,
      ok + ": c\r\n" + body, ok + "no colon\r\n" + body,
      ok + " A: c\r\n" + body, ok + "\tA: c\r\n" + body,
      ok + "A: c\x01\r\n" + body, ok + "A: c\x7f\r\n" + body,
      ok + "A: c\rd\r\n" + body, ok + "Content-Length: 3\r\n" + body,
      ok + "Content-Length: +2\r\n\r\nok", ok + "Content-Length: -2\r\n\r\nok",
      ok + "Content-Length: 2, 2\r\n\r\nok",
      ok + "Content-Length: 2x\r\n\r\nok",
      ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n" + chunks,
      ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" + chunks,
      ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
      ok + "Transfer-Encoding: gzip\r\n\r\nok",
      ok + "Transfer-Encoding: identity\r\n" + body,
      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA B: c\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA\r\n\r\n");
  CAPTURE(bytes);
  const RawServer server(bytes);
  const ServiceResult result = Call(server);
  CHECK(result.sent);
  CHECK_FALSE(result.reply);
  CHECK(Leg(server) == dispatch::LegEnd::kFailed);
}

// Guards against clients that run out of memory.
TEST_CASE("a head or trailer of any length is no reply") {
  std::string fields;
  while (fields.size() < std::size_t{1} << 20U) fields += "A: b\r\n";
  const std::string bytes = GENERATE_COPY(
      "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
          fields + "\r\n");
  const RawServer server(bytes);
  CHECK_FALSE(Call(server).reply);
}

TEST_CASE("unusual responses of HTTP/1 are replies") {
  const std::string bytes =
      GENERATE("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nContent-Length:2 \r\n\r\nok",
               "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \xc3\xa4\tx\r\nA:\r\n"
               "Content-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
               "2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nok",
               "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  CAPTURE(bytes);
  const RawServer server(bytes);
  const ServiceResult result = Call(server);
  REQUIRE(result.reply);
  CHECK(result.reply->status == 200);
  CHECK(result.reply->body == "ok");
}

}  // namespace foxquay::http
