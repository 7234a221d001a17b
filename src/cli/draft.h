// Drafts of tickets: changes written against the view in force.
#pragma once

#include "cli/exit-code.h"
#include "cli/session.h"

#include <QJsonObject>

#include <string>

namespace heathercross::cli {

/// The view in force, with what the drafts need of it.
class CurrentView {
public:
  explicit CurrentView(Session &S) : View_(S.get("/v1/view")) {}

  std::uint64_t head() const;
  /// The object of a kind ("pool", "budget", "wave", "quota") and name; empty
  /// when there is none.
  QJsonObject find(const std::string &Kind, const std::string &Name) const;
  /// The ticket that last changed an object, "wave/NAME"; zero when none did.
  /// Throws CallFailed when the answer has no versions.
  std::uint64_t versionOf(const std::string &Object) const;

private:
  QJsonObject View_;
};

/// The name of an object of a kind: its pool for a budget, its team for a
/// quota.
std::string nameOf(const std::string &Kind, const QJsonObject &Object);

/// The key of an object in tickets and views, "wave/NAME".
std::string objectKey(const std::string &Kind, const QJsonObject &Object);

/// Submits a ticket with one change, written against the view given, and
/// prints it. Throws CallFailed.
ExitCode submitChange(Session &S, const CurrentView &View,
                      const std::string &Kind, const QJsonObject &Object);

} // namespace heathercross::cli
