// Calls of an entry to the placement service, one at a time.
#pragma once

#include "platform/advice.h"
#include "process/clock.h"

#include <QObject>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::entry {

/// The answer to a call, or none.
struct AdviceAnswer {
  std::optional<platform_api::AdviceReply> Reply_;
  Instant SentAt_;
  Instant AnsweredAt_;

  /// Until when the tickets can be used. They are valid from the service's
  /// answer on, at the latest; counting from the time of the call makes them
  /// expire too early. If the service was so slow that nothing would be left,
  /// half of the time is used.
  Instant validUntil() const {
    const Millis Valid = Reply_ ? Reply_->Valid_ : Millis(0);
    return std::max(SentAt_ + Valid, AnsweredAt_ + Valid / 2);
  }
};

/// The service handles the calls of a machine one after the other. A call that
/// waits there for those of other pools would use up its own time limit, so
/// calls wait here.
class AdviceCalls : public QObject {
public:
  AdviceCalls(platform_api::Advice &Service, process::Clock &Clock)
      : Service_(Service), Clock_(Clock) {}

  /// Asks which of at most 100 workers may run a step. Address is "IP:PORT".
  void ask(std::string Address, schedule::StepKey Step,
           std::vector<InstanceId> Workers, Millis Timeout,
           std::function<void(const AdviceAnswer &)> OnDone);

private:
  struct Call {
    std::string Address_;
    schedule::StepKey Step_;
    std::vector<InstanceId> Workers_;
    Millis Timeout_{0};
    std::function<void(const AdviceAnswer &)> OnDone_;
  };
  void sendNext();

  platform_api::Advice &Service_;
  process::Clock &Clock_;
  std::deque<Call> Waiting_;
  bool InFlight_ = false;
};

} // namespace heathercross::entry
