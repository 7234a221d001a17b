// Finds settings that are valid individually but contradict each other.
#pragma once

#include "settings/settings.h"

#include <string>
#include <vector>

namespace heathercross::settings {

/// Returns every conflict between settings that are individually in range. File
/// is the file name put into the problems; their line numbers are left at zero
/// because Settings doesn't record lines.
std::vector<Problem> findConflicts(const Settings &S, const std::string &File);

} // namespace heathercross::settings
