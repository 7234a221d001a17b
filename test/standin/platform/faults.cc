// Faults that tests inject into the platform stand-in.
#include "faults.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace heathercross::standin {

bool Faults::set(const QJsonObject &Body) {
  constexpr std::array<std::string_view, 4> Kinds{"down", "slow", "lose-answer",
                                                  "cut-zone"};
  const std::string Kind = Body["kind"].toString().toStdString();
  if (Kind == "none") {
    Active_.clear();
    return true;
  }
  if (std::ranges::find(Kinds, Kind) == Kinds.end())
    return false;
  const std::string Zone = Body["zone"].toString().toStdString();
  const std::string Name = Kind == "cut-zone" ? Kind + ' ' + Zone : Kind;
  Active_[Name] = {Body["share"].toDouble(1), Body["ms"].toInt()};
  return true;
}

const Faults::Fault *Faults::drawFault(const std::string &Kind) {
  const auto It = Active_.find(Kind);
  if (It == Active_.end())
    return nullptr;
  std::uniform_real_distribution<> Uniform(0, 1);
  return Uniform(Random_) < It->second.Probability_ ? &It->second : nullptr;
}

FaultEffect Faults::drawEffect(const std::string &Zone) {
  FaultEffect Effect;
  if (Active_.empty())
    return Effect;
  if (const Fault *F = drawFault("cut-zone " + Zone)) {
    Effect.Cut_ = true;
    Effect.DelayMs_ = F->DelayMs_;
    return Effect;
  }
  // A fault with a delay makes the platform hang and then close the connection;
  // without a delay it answers with 503 at once.
  if (const Fault *F = drawFault("down")) {
    Effect.DelayMs_ = F->DelayMs_;
    Effect.Cut_ = F->DelayMs_ > 0;
    Effect.Refuse_ = !Effect.Cut_;
    return Effect;
  }
  if (const Fault *F = drawFault("slow"))
    Effect.DelayMs_ = F->DelayMs_;
  Effect.LoseAnswer_ = drawFault("lose-answer") != nullptr;
  return Effect;
}

} // namespace heathercross::standin
