// What one entry instance adds to a request, and what it costs to run.
#pragma once

namespace heathercross::bench {

/// Runs the loads, each for so many seconds, and prints the tables. False when
/// the processes don't come up.
bool runSpeed(int Seconds);

} // namespace heathercross::bench
