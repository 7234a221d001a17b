// Faults that tests inject into the platform stand-in.
#pragma once

#include <QJsonObject>

#include <map>
#include <random>
#include <string>

namespace heathercross::standin {

/// The effect of the active faults on one call.
struct FaultEffect {
  /// Delay before the call is handled.
  int DelayMs_ = 0;
  /// The call has no effect and is answered with 503.
  bool Refuse_ = false;
  /// The call has no effect and its connection is closed.
  bool Cut_ = false;
  /// The call takes effect and its connection is closed without an answer.
  bool LoseAnswer_ = false;
};

/// The active faults. Several kinds can be active at the same time, and several
/// zones can be cut off.
class Faults {
public:
  explicit Faults(unsigned Seed) : Random_(Seed) {}

  /// Applies the body of POST /fault. Returns false if the kind is unknown.
  bool set(const QJsonObject &Body);
  /// Draws the effect of the faults on a call from Zone.
  FaultEffect drawEffect(const std::string &Zone);

private:
  struct Fault {
    double Probability_ = 1;
    int DelayMs_ = 0;
  };

  const Fault *drawFault(const std::string &Kind);

  std::mt19937 Random_;
  std::map<std::string, Fault> Active_;
};

} // namespace heathercross::standin
