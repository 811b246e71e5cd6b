#ifndef FOXQUAY_HTTP_FWD_H_
#define FOXQUAY_HTTP_FWD_H_

namespace foxquay::http {

class Connection;
class Request;
class Server;
struct Answer;
struct EntryAnswer;
struct Network;
struct Problem;
struct Response;

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_FWD_H_
