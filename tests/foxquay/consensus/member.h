#ifndef FOXQUAY_TESTS_CONSENSUS_MEMBER_H_
#define FOXQUAY_TESTS_CONSENSUS_MEMBER_H_

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <variant>

#include "foxquay/consensus/replica.h"

namespace foxquay::consensus {

/// A replica whose writes finish at once. Its messages are kept until a test
/// delivers them; its state machine has a state of a fixed size.
class Member {
 public:
  explicit Member(Options options, std::size_t state_bytes = 0)
      : state_bytes_(state_bytes), replica_(std::move(options), {}, {}) {}
  /// Continues from what the disk holds.
  Member(Options options, PersistentState durable)
      : state_bytes_(0), replica_(std::move(options), std::move(durable), {}) {}

  void Handle(const Event& event, core::Instant now) {
    std::deque<Event> events = {event};
    while (!events.empty()) {
      const Event next = std::move(events.front());
      events.pop_front();
      for (Action& action : replica_.Handle(next, now)) {
        if (auto* persist = std::get_if<Persist>(&action)) {
          events.emplace_back(Persisted{persist->write_id});
        } else if (auto* save = std::get_if<SaveSnapshot>(&action)) {
          events.emplace_back(Persisted{save->write_id});
        } else if (std::holds_alternative<TakeSnapshot>(action)) {
          events.emplace_back(SnapshotTaken{replica_.applied(),
                                            std::string(state_bytes_, 's')});
        } else if (auto* send = std::get_if<Send>(&action)) {
          sent.push_back(std::move(*send));
        }
      }
    }
  }

  [[nodiscard]] const Replica& replica() const { return replica_; }

  std::deque<Send> sent;

 private:
  std::size_t state_bytes_;
  Replica replica_;
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_TESTS_CONSENSUS_MEMBER_H_
