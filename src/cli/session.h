// The calls of one run of the operators' tool, and its output.
#pragma once

#include "cli/table.h"
#include "http/http-client.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonObject>

#include <string>

namespace heathercross::cli {

/// What the global flags say.
struct Options {
  /// The entry instance that is called, "IP:PORT".
  std::string Address_;
  /// The bearer token; empty for calls without one.
  std::string Token_;
  Millis Timeout_{10'000};
  bool Json_ = false;
};

/// Calls an entry instance and waits for its answer. Each call goes on a fresh
/// connection, so that none is sent twice. All calls throw CallFailed.
class Session {
public:
  explicit Session(Options O) : Options_(std::move(O)) {}

  QJsonObject get(const std::string &Path);
  /// Calls another entry instance than the session's.
  QJsonObject getFrom(const std::string &Address, const std::string &Path);
  /// The answer as it came.
  QByteArray getRaw(const std::string &Path);
  QJsonObject post(const std::string &Path, const QJsonObject &Body);

  const Options &options() const { return Options_; }
  /// Prints rows as a table, or with --json as they are under one name.
  void printRows(const std::string &Name, const QJsonArray &Rows,
                 const Columns &First) const;
  /// Prints one object as lines of names and values, or as JSON.
  void printObject(const QJsonObject &Object) const;

private:
  http::Reply call(const std::string &Address, http::Call C);

  Options Options_;
  http::Client Client_;
};

/// The array that an answer holds under a name. Throws CallFailed when it
/// isn't there.
QJsonArray arrayAt(const QJsonObject &Answer, const char *Name);

/// A part of a path, with what has a meaning there escaped.
std::string pathPart(const std::string &Text);

/// Prints a failure: to the error output for people, to the output as JSON.
void printFailure(const Error &E, bool Json);

} // namespace heathercross::cli
