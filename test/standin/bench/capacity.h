// Measures the resource use of idle clusters of increasing size.
#pragma once

namespace heathercross::bench {

/// Measures clusters of increasing size for Seconds each and prints the tables.
/// Returns false if a cluster didn't start; the larger ones are measured
/// anyway.
bool runCapacity(int Seconds);

} // namespace heathercross::bench
