// The cases that are played as scripts.
#pragma once

#include <QString>

namespace heathercross::review {

/// What a script returns.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// Plays a case. Trouble says whether the disruption is part of it. Throws
/// nothing; a case that can't be played gives NotRun.
Verdict play(const QString &Name, bool Trouble, const QString &RecordFile);

} // namespace heathercross::review
