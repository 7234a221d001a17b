// The generated message types, apart from the checks of hand-written code.
#pragma once
#pragma GCC system_header

#include "gen/messages_types.h"
