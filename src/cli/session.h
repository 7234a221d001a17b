// The HTTP calls and the output of one run of the operators' tool.
#pragma once

#include "cli/table.h"
#include "http/http-client.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonObject>

#include <string>

namespace heathercross::cli {

/// The values of the global flags.
struct Options {
  /// The address of the entry instance to call, "IP:PORT".
  std::string Address_;
  /// The bearer token; if it is empty, none is sent.
  std::string Token_;
  Millis Timeout_{10'000};
  bool Json_ = false;
};

/// Makes blocking calls to an entry instance. Each call uses a new connection,
/// so that no request is sent twice. All calls throw CallFailed.
class Session {
public:
  explicit Session(Options O) : Options_(std::move(O)) {}

  QJsonObject get(const std::string &Path);
  /// Calls the entry instance at Address instead of the configured one.
  QJsonObject getFrom(const std::string &Address, const std::string &Path);
  /// Returns the body of the reply without parsing it.
  QByteArray getRaw(const std::string &Path);
  QJsonObject post(const std::string &Path, const QJsonObject &Body);

  const Options &options() const { return Options_; }
  /// Prints rows as a table, or with --json as an object with the array Name.
  void printRows(const std::string &Name, const QJsonArray &Rows,
                 const Columns &First) const;
  /// Prints an object as indented JSON, or with --json as compact JSON.
  void printObject(const QJsonObject &Object) const;

private:
  http::Reply call(const std::string &Address, http::Call C);

  Options Options_;
  http::Client Client_;
};

/// Returns the array in the named field of a reply. Throws CallFailed if there
/// is none.
QJsonArray arrayField(const QJsonObject &Reply, const char *Name);

/// Percent-encodes a text for use in the path or query of a URL.
std::string percentEncode(const std::string &Text);

/// Prints an error as text to standard error, or as JSON to standard output.
void printFailure(const Error &E, bool Json);

} // namespace heathercross::cli
