#include "foxquay/http/server.h"

#include <netinet/in.h>
#include <strings.h>
#include <ulfius.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <exception>
#include <mutex>

#include "foxquay/http/endpoint.h"

namespace foxquay::http {
namespace internal {

constexpr std::size_t kStreamBlockBytes = 4096;
constexpr std::size_t kThreadStackBytes = 262144;
constexpr unsigned int kIdleSeconds = 30;
constexpr int kSendBufferBytes = 65536;

/// Connection that the current thread serves. libmicrohttpd runs one thread per
/// connection, and ulfius does not pass the connection to its callbacks.
thread_local MHD_Connection* current_connection = nullptr;
/// Whether a handler was called for the current request.
thread_local bool handler_called = false;

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::pair<std::string, std::string>> CopyPairs(const _u_map& map) {
  std::vector<std::pair<std::string, std::string>> pairs;
  pairs.reserve(static_cast<std::size_t>(map.nb_values));
  for (int index = 0; index < map.nb_values; ++index) {
    pairs.emplace_back(map.keys[index], map.values[index]);
  }
  return pairs;
}

int CurrentDescriptor() {
  if (current_connection == nullptr) return -1;
  const MHD_ConnectionInfo* info = MHD_get_connection_info(
      current_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

void SetIdleTimeout(MHD_Connection* connection, unsigned int seconds) {
  MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

ssize_t ReadStream(void* data, std::uint64_t /*offset*/, char* out,
                   std::size_t max) {
  const std::size_t count = static_cast<BodyStream*>(data)->read(out, max);
  return count == 0 ? U_STREAM_END : static_cast<ssize_t>(count);
}

void FreeStream(void* data) {
  const std::unique_ptr<BodyStream> stream(static_cast<BodyStream*>(data));
  stream->closed();
}

void FillResponse(Outgoing&& outgoing, _u_response* response) {
  for (const auto& [name, value] : outgoing.headers) {
    ulfius_add_header_to_response(response, name.c_str(), value.c_str());
  }
  if (!outgoing.stream) {
    ulfius_set_binary_body_response(response, outgoing.status,
                                    outgoing.body.data(), outgoing.body.size());
    return;
  }
  auto stream = std::make_unique<BodyStream>(std::move(*outgoing.stream));
  ulfius_set_stream_response(response, outgoing.status, ReadStream, FreeStream,
                             U_STREAM_SIZE_UNKNOWN, kStreamBlockBytes,
                             stream.release());
}

}  // namespace internal

void Connection::Abort() const {
  if (descriptor_ >= 0) shutdown(descriptor_, SHUT_RDWR);
}

void Connection::BoundSendBuffer() const {
  const int bytes = internal::kSendBufferBytes;
  setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

std::optional<std::string> Incoming::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (internal::EqualsIgnoringCase(key, name)) return value;
  }
  return std::nullopt;
}

std::optional<std::string> Incoming::Parameter(std::string_view name) const {
  for (const auto& [key, value] : parameters) {
    if (key == name) return value;
  }
  return std::nullopt;
}

class Server::State {
 public:
  State(ServerOptions options, std::vector<Route> routes)
      : options_(options), routes_(std::move(routes)) {}

  std::error_code Start(const std::string& address) {
    const core::Result<Endpoint> endpoint = ParseEndpoint(address);
    if (!endpoint) return endpoint.error();
    endpoint_ = endpoint.value();
    if (ulfius_init_instance(&instance_, endpoint_.port, nullptr, nullptr) !=
        U_OK) {
      return make_error_code(core::Error::kUnavailable);
    }
    initialized_ = true;
    Configure();
    if (StartDaemon() != U_OK) {
      return make_error_code(core::Error::kUnavailable);
    }
    started_ = true;
    return {};
  }

  void Stop() {
    const std::lock_guard lock(stop_mutex_);
    if (started_) ulfius_stop_framework(&instance_);
    started_ = false;
    if (initialized_) ulfius_clean_instance(&instance_);
    initialized_ = false;
  }

  [[nodiscard]] std::size_t InFlight() const noexcept {
    return in_flight_.load();
  }

 private:
  struct Binding {
    State* state;
    const Route* route;
  };

  void Configure() {
    // ulfius truncates bodies. One byte above the limit reveals one that is too
    // large.
    instance_.max_post_body_size = options_.max_body_bytes + std::size_t{1};
    instance_.check_utf8 =
        0;  // otherwise ulfius drops malformed headers silently
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    bindings_.reserve(routes_.size());
    for (const Route& route : routes_) {
      bindings_.push_back({this, &route});
      ulfius_add_endpoint_by_val(&instance_, route.method.c_str(), nullptr,
                                 route.pattern.c_str(), 0, Serve,
                                 &bindings_.back());
    }
    ulfius_set_default_endpoint(&instance_, ServeNotFound, nullptr);
  }

  int StartDaemon() {
    unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (endpoint_.storage.ss_family == AF_INET6) flags |= MHD_USE_IPv6;
    std::array<MHD_OptionItem, 7> options{{
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(&OnRequestCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<intptr_t>(&OnRequestStarted), this},
        {MHD_OPTION_SOCK_ADDR, 0, &endpoint_.storage},
        {MHD_OPTION_THREAD_STACK_SIZE,
         static_cast<intptr_t>(internal::kThreadStackBytes), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(options_.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(internal::kIdleSeconds), nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    return ulfius_start_framework_with_mhd_options(&instance_, flags,
                                                   options.data());
  }

  static void* OnRequestStarted(void* /*self*/, const char* uri,
                                MHD_Connection* connection) {
    internal::current_connection = connection;
    internal::handler_called = false;
    return ulfius_uri_logger(nullptr, uri);
  }

  static void OnRequestCompleted(void* self, MHD_Connection* connection,
                                 void** connection_state,
                                 MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, connection_state, code);
    internal::SetIdleTimeout(connection, internal::kIdleSeconds);
    if (internal::handler_called) {
      static_cast<State*>(self)->in_flight_.fetch_sub(1);
    }
    internal::handler_called = false;
  }

  static int Serve(const _u_request* request, _u_response* response,
                   void* data) {
    const auto* binding = static_cast<const Binding*>(data);
    binding->state->in_flight_.fetch_add(1);
    internal::handler_called = true;
    // A handler may take longer than the idle timeout.
    internal::SetIdleTimeout(internal::current_connection, 0);
    try {
      Outgoing outgoing =
          binding->route->handler(binding->state->ReadRequest(*request));
      // A BodyStream detects a caller that stops reading itself, so a streamed
      // response has no idle timeout.
      if (!outgoing.stream) {
        internal::SetIdleTimeout(internal::current_connection,
                                 internal::kIdleSeconds);
      }
      internal::FillResponse(std::move(outgoing), response);
    } catch (const std::exception&) {
      return U_CALLBACK_ERROR;  // status 500; exceptions must not pass through
                                // C code
    }
    return U_CALLBACK_COMPLETE;
  }

  static int ServeNotFound(const _u_request* /*request*/, _u_response* response,
                           void* /*data*/) {
    Outgoing outgoing;
    outgoing.status = 404;
    outgoing.headers = {{"Content-Type", "application/json"},
                        {"X-Foxquay-Outcome", "not-run"}};
    outgoing.body =
        R"({"error":{"field":"path","message":"no such resource"},"outcome":"not-run"})";
    internal::FillResponse(std::move(outgoing), response);
    return U_CALLBACK_COMPLETE;
  }

  [[nodiscard]] Incoming ReadRequest(const _u_request& request) const {
    Incoming incoming;
    incoming.method = request.http_verb;
    incoming.url = request.http_url;
    incoming.headers = internal::CopyPairs(*request.map_header);
    incoming.parameters = internal::CopyPairs(*request.map_url);
    if (request.binary_body_length > 0) {
      incoming.body.assign(static_cast<const char*>(request.binary_body),
                           request.binary_body_length);
    }
    incoming.too_large = incoming.body.size() > options_.max_body_bytes;
    if (request.client_address != nullptr) {
      std::memcpy(&incoming.peer, request.client_address,
                  request.client_address->sa_family == AF_INET6
                      ? sizeof(sockaddr_in6)
                      : sizeof(sockaddr_in));
    }
    incoming.connection = Connection(internal::CurrentDescriptor());
    return incoming;
  }

  ServerOptions options_;
  std::vector<Route> routes_;
  std::vector<Binding> bindings_;
  Endpoint endpoint_;
  _u_instance instance_{};
  std::mutex stop_mutex_;
  bool initialized_ = false;
  bool started_ = false;
  std::atomic<std::size_t> in_flight_{0};
};

Server::Server(ServerOptions options, std::vector<Route> routes)
    : state_(std::make_unique<State>(options, std::move(routes))) {}

Server::~Server() { Stop(); }

std::error_code Server::Start(const std::string& address) {
  return state_->Start(address);
}

void Server::Stop() { state_->Stop(); }

std::size_t Server::InFlight() const noexcept { return state_->InFlight(); }

Library::Library() { ulfius_global_init(); }

Library::~Library() { ulfius_global_close(); }

}  // namespace foxquay::http
