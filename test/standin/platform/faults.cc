// Which faults the platform has at the moment, and how a call meets them.
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
    On_.clear();
    return true;
  }
  if (std::ranges::find(Kinds, Kind) == Kinds.end())
    return false;
  const std::string Zone = Body["zone"].toString().toStdString();
  const std::string Name = Kind == "cut-zone" ? Kind + ' ' + Zone : Kind;
  On_[Name] = {Body["share"].toDouble(1), Body["ms"].toInt()};
  return true;
}

const Faults::Fault *Faults::drawn(const std::string &Kind) {
  const auto At = On_.find(Kind);
  if (At == On_.end())
    return nullptr;
  std::uniform_real_distribution<> Uniform(0, 1);
  return Uniform(Random_) < At->second.Share_ ? &At->second : nullptr;
}

Verdict Faults::judge(const std::string &Zone) {
  Verdict V;
  if (On_.empty())
    return V;
  if (const Fault *F = drawn("cut-zone " + Zone)) {
    V.Cut_ = true;
    V.DelayMs_ = F->Ms_;
    return V;
  }
  // A platform that is down for callers hangs when the fault has a time, and
  // refuses when it has none.
  if (const Fault *F = drawn("down")) {
    V.DelayMs_ = F->Ms_;
    V.Cut_ = F->Ms_ > 0;
    V.Refuse_ = !V.Cut_;
    return V;
  }
  if (const Fault *F = drawn("slow"))
    V.DelayMs_ = F->Ms_;
  V.LoseAnswer_ = drawn("lose-answer") != nullptr;
  return V;
}

} // namespace heathercross::standin
