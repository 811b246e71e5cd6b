#ifndef FOXQUAY_TESTS_FOXQUAY_QUARANTINE_SIMULATED_FLEET_H_
#define FOXQUAY_TESTS_FOXQUAY_QUARANTINE_SIMULATED_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/quarantine/bundle.h"
#include "foxquay/quarantine/detector.h"
#include "foxquay/quarantine/gate.h"
#include "foxquay/quarantine/recorder.h"
#include "foxquay/quarantine/table.h"

namespace foxquay::quarantine {

/// What hosts do about requests that crash upstreams.
enum class Policy : std::uint8_t {
  kNone,   ///< Nothing.
  kAlone,  ///< Each host keeps its own quarantines.
  kRoute,  ///< After three crashes the fleet refuses the whole route.
  kFleet,  ///< The fleet shares quarantines.
};

/// Shape and load of a simulated fleet.
struct FleetOptions {
  Policy policy = Policy::kFleet;
  int hosts = 8;
  int controls = 3;
  int upstreams = 38;
  double sound_rate = 57;  ///< Requests per second.
  double bad_rate = 2;     ///< Requests with the crashing part per second.
  int subjects = 60;       ///< First parts of the sound requests.
  /// Subjects that requests with the crashing part begin with; 0 if that part
  /// is the first one.
  int bad_subjects = 5;
  int bad_parts = 1;  ///< Different crashing parts.
  /// Requests of a plain service, without parts of prompts: the crashing ones
  /// are repeats of `bad_parts` requests and end their upstream before the head
  /// of an answer. Callers repeat what fails once, at another host.
  bool plain = false;
  /// Time after the first event at which the crashing part ends its upstream;
  /// before the first event if it is zero.
  core::Duration crash_after{};
  double hot_share = 0;  ///< Of the sound plain requests, those that are alike.
  double rack_loss_interval = 0;  ///< Seconds between ends of all upstreams.
  double kills_per_second = 0;    ///< Upstreams that end for other reasons.
  bool restart_all = false;       ///< All hosts restart at 12 s.
  bool lose_leader = false;       ///< The leader ends at 2.5 s.
  std::uint64_t seed = 1;
};

/// What happened in a run.
struct FleetResult {
  int crashes = 0;  ///< Caused by the crashing parts.
  /// Requests with a crashing part that reached upstreams later than the bound
  /// after the fifth crash of that part.
  int late = 0;
  int sound = 0;          ///< Sound requests of the second half.
  int sound_begun = 0;    ///< Of these, begun at the first attempt.
  int sound_refused = 0;  ///< Sound requests refused by a quarantine.
  int sound_cut = 0;      ///< Sound answers that were begun and given up.
  std::size_t quarantines = 0;
  std::size_t report_bytes = 0;  ///< Encoded evidence in all messages.
};

/// Entry hosts, control hosts and upstreams in simulated time: requests, polls,
/// the exchange between control hosts, and the commit of quarantines.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetOptions& options);
  /// Plays 30 s.
  FleetResult Run();

 private:
  struct Request {
    bool bad = false;
    int part = 0;  ///< Number of the crashing part.
    Parts parts;
    core::WorkspaceId workspace;
    std::size_t host = 0;
    bool first_attempt = true;
    bool caller_repeats =
        false;  ///< Its caller sends it once more if it fails.
    bool counted = false;
    bool begun = false;  ///< The upstream has begun to answer.
    bool event = false;  ///< An event has arrived.
    int crashes = 0;     ///< Upstreams that ended while it ran.
  };
  struct Upstream {
    int incarnation = 0;
    bool alive = true;
    std::set<std::size_t> requests;
  };
  struct Host {
    Gate gate;
    Recorder recorder;
    std::uint64_t incarnation = 1;
    std::uint64_t version = 0;  ///< Of the table that it has.
    Detector detector;          ///< For Policy::kAlone.
    Table table;                ///< For Policy::kAlone.
  };
  struct Control {
    Detector detector;
    Bundle news;
    schema::QuarantineTable table;
  };
  struct Event {
    core::Instant at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void After(core::Duration delay, std::function<void()> action);
  double Draw(double low, double high);
  void Arrive(bool bad);
  void Send(std::size_t request);
  /// Sends a lost request again as its host or its caller decides.
  void Repeat(std::size_t request);
  /// Sends a request whose answer had begun again as its host decides.
  void Resume(std::size_t request);
  [[nodiscard]] Parts DrawParts(bool bad, Request& request);
  void Begin(std::size_t request, std::size_t upstream, int incarnation);
  void Answer(std::size_t request, std::size_t upstream, int incarnation);
  void End(std::size_t upstream);
  void Poll(std::size_t host);
  void Share(std::size_t control);
  void Review();
  void ReviewAlone(std::size_t host);
  void RestartAll();
  [[nodiscard]] core::Duration PollInterval() const;

  FleetOptions options_;
  FleetResult result_;
  std::mt19937_64 random_;
  core::Instant now_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<Request> requests_;
  std::vector<Upstream> upstreams_;
  std::vector<Host> hosts_;
  std::vector<Control> controls_;
  Table table_;
  std::size_t leader_ = 0;
  bool route_refused_ = false;
  std::map<int, std::vector<core::Instant>> crashes_;  ///< By part.
};

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_TESTS_FOXQUAY_QUARANTINE_SIMULATED_FLEET_H_
