// Which faults the platform has at the moment, and how a call meets them.
#pragma once

#include <QJsonObject>

#include <map>
#include <random>
#include <string>

namespace heathercross::standin {

/// What a fault does to one call.
struct Verdict {
  /// The call waits for so long before anything else.
  int DelayMs_ = 0;
  /// It has no effect and is answered with 503.
  bool Refuse_ = false;
  /// It has no effect and its connection is closed.
  bool Cut_ = false;
  /// It takes effect and its connection is closed without an answer.
  bool LoseAnswer_ = false;
};

/// The faults that are switched on. Several kinds can be on together, and
/// cuts of several zones.
class Faults {
public:
  explicit Faults(unsigned Seed) : Random_(Seed) {}

  /// Takes the body of POST /fault; false when the kind isn't known.
  bool set(const QJsonObject &Body);
  /// Draws what happens to a call from a zone.
  Verdict judge(const std::string &Zone);

private:
  struct Fault {
    double Share_ = 1;
    int Ms_ = 0;
  };

  const Fault *drawn(const std::string &Kind);

  std::mt19937 Random_;
  std::map<std::string, Fault> On_;
};

} // namespace heathercross::standin
