#ifndef FOXQUAY_HTTP_FWD_H_
#define FOXQUAY_HTTP_FWD_H_

namespace foxquay::http {

class Connection;
class Library;
class Server;
struct EntryAnswer;
struct Incoming;
struct Network;
struct Outgoing;
struct Problem;

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_FWD_H_
