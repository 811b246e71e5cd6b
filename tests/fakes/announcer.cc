#include "fakes/announcer.h"

#include <pthread.h>
#include <signal.h>  // NOLINT: sigwait is not in <csignal>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "foxquay/http/client.h"

namespace foxquay::fakes {
namespace internal {

constexpr std::chrono::milliseconds kAnnounceInterval{600};
constexpr std::chrono::seconds kSendTimeout{1};
constexpr std::chrono::hours kHangTime{24};

std::uint64_t FirstSequence() {
  // Derived from the clock, so that a restarted upstream continues above the
  // sequence numbers of its earlier run.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace internal

Announcer::Announcer(const Options& options)
    : options_(options), sequence_(internal::FirstSequence()) {
  thread_ = std::thread([this] { Run(); });
}

Announcer::~Announcer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void Announcer::AnnounceLeaving() {
  leaving_.store(true);
  {
    const std::lock_guard lock(mutex_);
    announce_now_ = true;
  }
  wake_.notify_all();
}

void Announcer::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    announce_now_ = false;
    lock.unlock();
    Send();
    lock.lock();
    wake_.wait_for(lock, internal::kAnnounceInterval,
                   [this] { return stopping_ || announce_now_; });
  }
}

void Announcer::Send() {
  const std::string body = AnnouncementBody();
  for (const std::string& listener : options_.announce) {
    http::ServiceSend call;
    call.method = "PUT";
    call.address = listener;
    call.path = "/v1/upstreams/" + options_.id;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body;
    call.time_left = internal::kSendTimeout;
    (void)http::CallService(
        call);  // failures are ignored: the next announcement repeats it
  }
}

std::string Announcer::AnnouncementBody() {
  nlohmann::json body = {{"sequence", sequence_++},
                         {"address", options_.listen},
                         {"data_centre", options_.data_centre},
                         {"accelerator", "fake"},
                         {"slots", options_.slots},
                         {"load", std::max(load_.load(), 0)},
                         {"checks_fencing", true},
                         {"leaving", leaving()}};
  if (options_.model.empty()) {
    body["kind"] = "service";
    body["service"] = options_.service;
  } else {
    body["kind"] = "model";
    body["model"] = options_.model;
    body["model_layers"] = options_.model_layers;
    body["layers"] = {{"first", options_.first_layer},
                      {"last", options_.last_layer}};
  }
  return body.dump();
}

ExecutionLog::ExecutionLog(const std::string& file) {
  if (!file.empty()) out_.open(file, std::ios::app);
}

void ExecutionLog::Write(const std::string& lines) {
  if (!out_.is_open()) return;
  const std::lock_guard lock(mutex_);
  out_ << lines << std::flush;
}

void FaultInjector::BeforeWork() {
  const std::uint32_t count = work_count_.fetch_add(1);
  if (options_.leave_after != 0 && count == options_.leave_after) {
    announcer_.AnnounceLeaving();
  }
  if (options_.die_after != 0 && count >= options_.die_after) {
    _exit(EXIT_FAILURE);
  }
  if (options_.hang_after != 0 && count >= options_.hang_after) {
    std::this_thread::sleep_for(internal::kHangTime);
  }
}

void BlockSigterm() {
  const sigset_t signals = internal::TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);  // NOLINT: the result is of no use
}

void AwaitSigterm(Announcer& announcer) {
  const sigset_t signals = internal::TerminationSignals();
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
  announcer.AnnounceLeaving();
}

}  // namespace foxquay::fakes
