// House words: a name that holds the word on the left should hold the one on the right.
const WORDS = new Map([
  ['route', 'mapping'], ['routes', 'mappings'], ['snapshot', 'checkpoint'], ['snapshots', 'checkpoints'],
  ['peer', 'fellow'], ['peers', 'fellows'], ['deadline', 'limit'], ['deadlines', 'limits'],
  ['refuse', 'turnAway'], ['refused', 'turnedAway'], ['refusal', 'turnAway'], ['failure', 'defect'], ['failures', 'defects'],
  ['admit', 'gate'], ['admitted', 'gated'], ['answer', 'return'], ['answers', 'returns'], ['timer', 'beat'], ['timers', 'beats'],
  ['choose', 'draw'], ['chosen', 'drawn'], ['choice', 'draw'], ['load', 'demand'], ['loads', 'demands'], ['loading', 'fetching'],
  ['queue', 'pending'], ['queues', 'pending'], ['queued', 'pending'],
]);

function parts(name) {
  return name.replace(/([a-z0-9])([A-Z])/g, '$1 $2').split(/[^A-Za-z0-9]+/).map(lower);
}

function lower(part) {
  return part.toLowerCase();
}

function create(context) {
  function check(node) {
    if (!node || (node.type !== 'Identifier' && node.type !== 'PrivateIdentifier')) return;
    for (const part of parts(node.name)) {
      const better = WORDS.get(part);
      if (better) context.report({ node, message: `house word: '${part}' in '${node.name}' is '${better}' here` });
    }
  }
  function checkParams(node) {
    for (const param of node.params) check(param.type === 'AssignmentPattern' ? param.left : param);
  }
  return {
    VariableDeclarator(node) { check(node.id); },
    FunctionDeclaration(node) { check(node.id); checkParams(node); },
    FunctionExpression(node) { checkParams(node); },
    ClassDeclaration(node) { check(node.id); },
    TSTypeAliasDeclaration(node) { check(node.id); },
    TSInterfaceDeclaration(node) { check(node.id); },
    TSPropertySignature(node) { check(node.key); },
    MethodDefinition(node) { check(node.key); },
    PropertyDefinition(node) { check(node.key); },
  };
}

export default { meta: { type: 'suggestion', schema: [] }, create };
