// Costs of the pure decisions, measured in this process.
#pragma once

#include "table.h"

namespace heathercross::bench {

/// Time to place a request and to take in its end, by number of workers.
Table decisionCost();
/// Time of one step of the fleet duty, by number of workers.
Table fleetStepCost();
/// Bytes that one entry's heartbeats take, by number of entries.
Table heartbeatBytes();
/// Time to take in a day's changes of the view, one by one.
Table viewApplyCost();

} // namespace heathercross::bench
