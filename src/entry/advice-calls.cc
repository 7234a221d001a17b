// Calls of an entry to the placement service, one at a time.
#include "entry/advice-calls.h"

#include <QPointer>

#include <utility>

namespace heathercross::entry {

void AdviceCalls::ask(std::string Address, schedule::StepKey Step,
                      std::vector<InstanceId> Workers, Millis Timeout,
                      std::function<void(const AdviceAnswer &)> OnDone) {
  Waiting_.push_back({std::move(Address), std::move(Step), std::move(Workers),
                      Timeout, std::move(OnDone)});
  sendNext();
}

void AdviceCalls::sendNext() {
  if (InFlight_ || Waiting_.empty())
    return;
  InFlight_ = true;
  Call C = std::move(Waiting_.front());
  Waiting_.pop_front();
  const Instant SentAt = Clock_.now();
  Service_.ask(
      C.Address_, C.Step_, C.Workers_, C.Timeout_,
      [Guard = QPointer<AdviceCalls>(this), SentAt,
       OnDone = C.OnDone_](std::optional<platform_api::AdviceReply> R) {
        if (!Guard)
          return;
        Guard->InFlight_ = false;
        OnDone({std::move(R), SentAt, Guard->Clock_.now()});
        if (Guard)
          Guard->sendNext();
      });
}

} // namespace heathercross::entry
