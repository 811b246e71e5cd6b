#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "foxquay/net/client.h"
#include "foxquay/net/server.h"

namespace foxquay::net {
namespace {

constexpr std::chrono::seconds kTimeout{10};

/// A peer that accepts connections and writes given bytes after each request.
class Peer {
 public:
  explicit Peer(boost::asio::io_context& context)
      : acceptor_(context, Tcp::endpoint(
                               boost::asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// Answers in order, one for each request; `close` ends the connection after
  /// the last.
  std::vector<std::string> answers;
  bool close = false;
  std::string received;
  int connections = 0;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) return;
          ++connections;
          sockets_.push_back(std::make_unique<Tcp::socket>(std::move(socket)));
          Read(*sockets_.back());
          Accept();
        });
  }

  void Read(Tcp::socket& socket) {
    socket.async_read_some(
        boost::asio::buffer(buffer_),
        [this, &socket](const boost::system::error_code& error,
                        std::size_t count) {
          if (error) return;
          received.append(buffer_.data(), count);
          if (received.find("\r\n\r\n") == std::string::npos) return;
          if (!answers.empty()) {
            boost::asio::write(socket, boost::asio::buffer(answers.front()));
            answers.erase(answers.begin());
          }
          if (close) {
            socket.close();
          } else {
            Read(socket);
          }
        });
  }

  Tcp::acceptor acceptor_;
  std::array<char, 4096> buffer_{};
  std::vector<std::unique_ptr<Tcp::socket>> sockets_;
};

/// What a client reported of its calls.
struct Seen {
  std::string body;
  unsigned status = 0;
  bool ended = false;
  std::optional<Failure> failure;
};

struct Fixture {
  boost::asio::io_context context;
  std::map<CallId, Seen> seen;
  Client client{
      context,
      {[this](CallId id, unsigned status, Fields&&) {
         seen[id].status = status;
       },
       [this](CallId id, const std::string& data) { seen[id].body += data; },
       [this](CallId id) { seen[id].ended = true; },
       [this](CallId id, Failure failure) { seen[id].failure = failure; }}};

  Seen Run(const std::string& address, const CallOptions& options = {}) {
    Request request;
    request.method = "GET";
    request.target = "/";
    const CallId id = client.Call(address, Serialize(request), options);
    const auto end = SteadyNow() + kTimeout;
    while (!seen[id].ended && !seen[id].failure && SteadyNow() < end) {
      context.run_one_for(std::chrono::milliseconds(20));
      client.Sweep(SteadyNow());
    }
    return seen[id];
  }
};

const std::string kKept = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n";

}  // namespace

TEST_CASE("a body with a length, in chunks or up to the end arrives whole") {
  Fixture fixture;
  Peer peer(fixture.context);
  peer.answers = {kKept + "Content-Length: 5\r\n\r\nhello",
                  kKept +
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"};
  CHECK(fixture.Run(peer.address()).body == "hello");
  CHECK(fixture.Run(peer.address()).body == "hello");
  CHECK(peer.connections == 1);
  peer.answers = {"HTTP/1.1 200 OK\r\n\r\nhello"};
  peer.close = true;
  const Seen seen = fixture.Run(peer.address());
  CHECK(seen.body == "hello");
  CHECK(seen.ended);
}

TEST_CASE("an answer that ends early is not complete") {
  Fixture fixture;
  Peer peer(fixture.context);
  peer.close = true;
  peer.answers = {kKept + "Content-Length: 9\r\n\r\nhello"};
  CHECK(fixture.Run(peer.address()).failure == Failure::kCut);
  peer.answers = {kKept + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n"};
  CHECK(fixture.Run(peer.address()).failure == Failure::kCut);
  peer.answers = {"nonsense\r\n\r\n"};
  CHECK(fixture.Run(peer.address()).failure == Failure::kMalformed);
  peer.answers = {};
  CHECK(fixture.Run(peer.address()).failure == Failure::kLost);
}

// A faulty upstream sends bytes behind a whole answer; they must reach no other
// request.
TEST_CASE("bytes behind an answer belong to no request") {
  Fixture fixture;
  Peer peer(fixture.context);
  const std::string answer = kKept + "Content-Length: 1\r\n\r\na";
  peer.answers = {answer + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
                  answer};
  CHECK(fixture.Run(peer.address()).body == "a");
  CHECK(fixture.Run(peer.address()).body == "a");
  CHECK(peer.connections == 2);
}

TEST_CASE("an answer to another request is dropped") {
  Fixture fixture;
  Peer peer(fixture.context);
  const std::string head = kKept + "Content-Length: 1\r\n";
  peer.answers = {head + "X-Name: old\r\n\r\nx" + head +
                  "X-Name: new\r\n\r\na"};
  CHECK(fixture.Run(peer.address(), {true, "X-Name", "new"}).body == "a");
}

TEST_CASE("a port without a listener leaves the request unsent") {
  Fixture fixture;
  CHECK(fixture.Run("127.0.0.1:1").failure == Failure::kNotSent);
}

TEST_CASE("a server answers, streams, and tells when its caller leaves") {
  Fixture fixture;
  std::vector<ExchangeId> gone;
  std::vector<std::pair<ExchangeId, Request>> requests;
  Server server(fixture.context, {[&](ExchangeId id, Request&& request) {
                                    requests.emplace_back(id,
                                                          std::move(request));
                                  },
                                  [&](ExchangeId id) { gone.push_back(id); }});
  REQUIRE_FALSE(server.Listen("127.0.0.1:0"));
  const std::string address = server.address();
  const auto run = [&](const std::function<bool()>& until) {
    const auto end = SteadyNow() + kTimeout;
    while (!until() && SteadyNow() < end) {
      fixture.context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(until());
  };
  Request request;
  request.method = "POST";
  request.target = "/a?b=c";
  request.fields.set("X-Name", "one");
  request.body = "payload";
  const CallId call = fixture.client.Call(address, Serialize(request), {});
  run([&] { return requests.size() == 1; });
  CHECK(requests[0].second.target == "/a?b=c");
  CHECK(requests[0].second.body == "payload");
  CHECK(requests[0].second.fields["X-Name"] == "one");
  server.Start(requests[0].first, MakeResponse(200, "text/plain", ""));
  server.Send(requests[0].first, "ab");
  server.Send(requests[0].first, "cd");
  server.End(requests[0].first);
  run([&] { return fixture.seen[call].ended; });
  CHECK(fixture.seen[call].body == "abcd");
  const CallId second = fixture.client.Call(address, Serialize(request), {});
  run([&] { return requests.size() == 2; });
  fixture.client.Cancel(second);
  run([&] { return gone.size() == 1; });
  CHECK(gone[0] == requests[1].first);
}

TEST_CASE("a malformed or oversized request is refused and not passed on") {
  Fixture fixture;
  int requests = 0;
  Server server(fixture.context, {[&](ExchangeId, Request&&) { ++requests; },
                                  [](ExchangeId) {}});
  ServerLimits limits;
  limits.max_body_bytes = 10;
  server.SetLimits(limits);
  REQUIRE_FALSE(server.Listen("127.0.0.1:0"));
  const std::string address = server.address();
  const auto status = [&](const std::string& bytes) {
    const CallId id = fixture.client.Call(address, bytes, {});
    const auto end = SteadyNow() + kTimeout;
    while (!fixture.seen[id].ended && !fixture.seen[id].failure &&
           SteadyNow() < end) {
      fixture.context.run_one_for(std::chrono::milliseconds(20));
    }
    return fixture.seen[id].status;
  };
  CHECK(status("nonsense\r\n\r\n") == 400);
  CHECK(status("POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n") == 413);
  CHECK(requests == 0);
}

}  // namespace foxquay::net
