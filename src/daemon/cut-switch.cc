// Simulated network partitions for tests, controlled by a file.
#include "daemon/cut-switch.h"

#include <glog/logging.h>

#include <fstream>

namespace heathercross::daemon {

namespace {
constexpr int ReadIntervalMs = 100;
} // namespace

CutSwitch::CutSwitch(std::string File, Apply OnChange)
    : File_(std::move(File)), OnChange_(std::move(OnChange)) {
  if (File_.empty())
    return;
  connect(&Timer_, &QTimer::timeout, this, [this] { readFile(); });
  Timer_.start(ReadIntervalMs);
}

void CutSwitch::readFile() {
  std::ifstream In(File_);
  std::set<std::string> Addresses;
  for (std::string Line; std::getline(In, Line);)
    if (!Line.empty())
      Addresses.insert(Line);
  if (Addresses == BlockedAddresses_)
    return;
  BlockedAddresses_ = std::move(Addresses);
  LOG(INFO) << "event=cut addresses=" << BlockedAddresses_.size();
  OnChange_(BlockedAddresses_);
}

} // namespace heathercross::daemon
