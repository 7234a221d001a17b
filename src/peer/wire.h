// Includes the generated message types as a system header, which suppresses
// compiler warnings for them.
#pragma once
#pragma GCC system_header

#include "gen/messages_types.h"
