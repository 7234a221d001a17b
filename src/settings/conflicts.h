// Settings that are fine on their own and contradict each other.
#pragma once

#include "settings/settings.h"

#include <string>
#include <vector>

namespace heathercross::settings {

/// Every contradiction in settings whose values are each within their range.
/// File names them; lines aren't known here and stay zero.
std::vector<Problem> findConflicts(const Settings &S, const std::string &File);

} // namespace heathercross::settings
