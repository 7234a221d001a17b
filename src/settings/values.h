// Turns the text of a value into a checked value.
#pragma once

#include "settings/schema.h"

#include <string>
#include <variant>

namespace heathercross::settings {

/// The value that a text stands for under a key, or what is wrong with it.
std::variant<Value, ProblemKind> parseValue(const KeySpec &Spec,
                                            const std::string &Text);

} // namespace heathercross::settings
