// Parses and checks the values of keys.
#pragma once

#include "settings/schema.h"

#include <string>
#include <variant>

namespace heathercross::settings {

/// Parses the text of a key's value and checks its syntax and range. Returns
/// the value or the kind of the problem.
std::variant<Value, ProblemKind> parseValue(const KeySpec &Spec,
                                            const std::string &Text);

} // namespace heathercross::settings
