#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fakes/announcer.h"
#include "fakes/options.h"
#include "foxquay/http/server.h"

namespace foxquay::fakes {
namespace {

/// A plain service that logs its calls and counts them per idempotency key.
class Service {
 public:
  explicit Service(const Options& options)
      : options_(options),
        announcer_(options_),
        log_(options_.log),
        fault_injector_(options_, announcer_) {}

  std::vector<http::Route> Routes() {
    return {{"*", "/*",
             [this](http::Incoming&& incoming) { return Serve(incoming); }}};
  }

  Announcer& announcer() { return announcer_; }

 private:
  http::Outgoing Serve(const http::Incoming& incoming) {
    http::Outgoing outgoing;
    outgoing.headers = {{"Content-Type", "application/json"}};
    if (options_.refuse) {
      outgoing.status = 503;
      outgoing.body = R"({"error":"upstream takes no new requests"})";
      return outgoing;
    }
    const std::string key = incoming.Header("Idempotency-Key").value_or("-");
    log_.Write(key + " " + incoming.method + " " + incoming.url + "\n");
    // The call counts as executed even if a fault is injected.
    fault_injector_.BeforeWork();
    std::this_thread::sleep_for(options_.token_time);
    outgoing.body =
        nlohmann::json({{"service", options_.service},
                        {"upstream", options_.id},
                        {"key", key},
                        {"count", IncrementCount(key)},
                        {"method", incoming.method},
                        {"path", incoming.url},
                        {"body", incoming.body}})
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return outgoing;
  }

  std::uint32_t IncrementCount(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return ++counts_[key];
  }

  const Options& options_;
  Announcer announcer_;
  ExecutionLog log_;
  FaultInjector fault_injector_;
  std::mutex mutex_;
  std::map<std::string, std::uint32_t> counts_;
};

}  // namespace
}  // namespace foxquay::fakes

int main(int argc, const char** argv) {
  const foxquay::fakes::Options options =
      foxquay::fakes::ParseOptions(argc, argv);
  foxquay::fakes::BlockSigterm();
  const foxquay::http::Library library;
  foxquay::fakes::Service service(options);
  foxquay::http::Server server({}, service.Routes());
  if (server.Start(options.listen)) {
    std::cerr << "cannot listen on " << options.listen << "\n";
    return EXIT_FAILURE;
  }
  foxquay::fakes::AwaitSigterm(service.announcer());
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  _Exit(EXIT_SUCCESS);
}
