// Simulated network partitions for tests, controlled by a file.
#pragma once

#include <QObject>
#include <QTimer>

#include <functional>
#include <set>
#include <string>

namespace heathercross::daemon {

/// Watches a file that lists addresses, one per line, with which this entry
/// must not communicate, and reports changes of the list.
class CutSwitch : public QObject {
public:
  using Apply = std::function<void(const std::set<std::string> &)>;

  /// Does nothing if File is empty.
  CutSwitch(std::string File, Apply OnChange);

private:
  void readFile();

  std::string File_;
  Apply OnChange_;
  std::set<std::string> BlockedAddresses_;
  QTimer Timer_;
};

} // namespace heathercross::daemon
