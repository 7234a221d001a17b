// Simulated network cuts, switched by a file.
#pragma once

#include <QObject>
#include <QTimer>

#include <functional>
#include <set>
#include <string>

namespace heathercross::daemon {

/// Follows a file that lists addresses, one a line, with which this entry must
/// not talk. It serves tests of cuts; without a file it does nothing.
class CutSwitch : public QObject {
public:
  using Apply = std::function<void(const std::set<std::string> &)>;

  /// An empty File switches it off.
  CutSwitch(std::string File, Apply OnChange);

private:
  void look();

  std::string File_;
  Apply OnChange_;
  std::set<std::string> Cut_;
  QTimer Timer_;
};

} // namespace heathercross::daemon
