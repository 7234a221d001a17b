// Simulated network cuts, switched by a file.
#include "daemon/cut-switch.h"

#include <glog/logging.h>

#include <fstream>

namespace heathercross::daemon {

namespace {
constexpr int LookIntervalMs = 100;
} // namespace

CutSwitch::CutSwitch(std::string File, Apply OnChange)
    : File_(std::move(File)), OnChange_(std::move(OnChange)) {
  if (File_.empty())
    return;
  connect(&Timer_, &QTimer::timeout, this, [this] { look(); });
  Timer_.start(LookIntervalMs);
}

void CutSwitch::look() {
  std::ifstream In(File_);
  std::set<std::string> Now;
  for (std::string Line; std::getline(In, Line);)
    if (!Line.empty())
      Now.insert(Line);
  if (Now == Cut_)
    return;
  Cut_ = std::move(Now);
  LOG(INFO) << "event=cut addresses=" << Cut_.size();
  OnChange_(Cut_);
}

} // namespace heathercross::daemon
